from random import Random

import pytest

from rosemaryward.decisions.mirror.store_retry import (
    MAX_BOUND_S,
    USUAL_PAUSE_S,
    StoreRetry,
)

OUTAGE_S = 9.0


def count_calls(retry):
    """Return how many calls one loop makes during an outage."""
    elapsed_s, calls = 0.0, 0
    while elapsed_s < OUTAGE_S:
        calls += 1
        elapsed_s += retry.next_pause_s()
    return calls


@pytest.mark.parametrize(
    ("is_relayed", "most_calls"),
    [
        pytest.param(True, 12, id="other-members-answer"),
        pytest.param(False, OUTAGE_S / USUAL_PAUSE_S, id="nobody-answers"),
    ],
)
def test_calls_of_a_member_that_the_store_turns_away(is_relayed, most_calls):
    """Guards against a fleet that loads the store with calls that it refuses."""
    for seed in range(50):
        retry = StoreRetry(lambda: is_relayed, Random(seed))
        assert count_calls(retry) <= most_calls


def test_return_of_the_store_is_noticed_soon_if_nobody_reaches_it():
    """Guards against a fleet that stays unready after an outage of the store."""
    relayed = [True]
    retry = StoreRetry(lambda: relayed[0], Random(1))
    for _ in range(10):
        assert retry.next_pause_s() <= USUAL_PAUSE_S + MAX_BOUND_S
    relayed[0] = False
    assert retry.next_pause_s() == USUAL_PAUSE_S


def test_answer_ends_the_growth():
    """Guards against long pauses after single failures."""
    retry = StoreRetry(lambda: True, Random(1))
    for _ in range(10):
        retry.next_pause_s()
    retry.record_answer()
    assert retry.next_pause_s() <= 3 * USUAL_PAUSE_S
