import pytest

from rosemaryward.bench.experiment.load import flood_size
from rosemaryward.bench.experiment.measures import (
    config_delays,
    cut_requests,
    done_shares,
    longest_write_pause,
    refusal_latency,
    replica_share,
    reverted_versions,
    statement_count,
)
from rosemaryward.bench.experiment.sampling import (
    CounterSample,
    VersionSample,
    add_link_bytes,
)
from rosemaryward.bench.history.operations import Kind, Operation, Outcome

SAMPLES = [
    CounterSample(0.0, "one", "a", 100, 0, 10),
    CounterSample(0.0, "one", "b", 0, 50, 0),
    CounterSample(1.0, "one", "a", 101, 0, 12),
    CounterSample(1.0, "one", "b", 0, 59, 0),
    CounterSample(2.0, "one", "b", 0, 99, 0),
]


def operation(start, end, outcome=Outcome.DONE, **fields) -> Operation:
    values = {"kind": Kind.WRITE, "database": "one", "rank": "urgent", **fields}
    return Operation(
        session="s", key="k", start=start, end=end, outcome=outcome, **values
    )


@pytest.mark.parametrize(
    ("start", "end", "expected"),
    [(0.0, 1.0, (9, 10)), (1.0, 2.0, (40, 40)), (3.0, 4.0, (0, 0))],
)
def test_replica_share_counts_only_its_span(start, end, expected):
    """Guards against a share that includes reads before or after the span."""
    assert replica_share(SAMPLES, start, end) == expected


def test_statement_count_covers_one_instance():
    """Guards against statements at a leaving instance that are not counted."""
    assert statement_count(SAMPLES, "one", "a", 0.0, 1.0) == 3
    assert statement_count(SAMPLES, "one", "a", 1.0, 2.0) == 0


@pytest.mark.parametrize(
    ("ends", "expected"), [([1.0, 3.5, 4.0], 2.5), ([], 5.0), ([0.5], 4.5)]
)
def test_longest_write_pause(ends, expected):
    """Guards against a pause until the end of the span that is not counted."""
    history = [operation(end - 0.1, end) for end in ends]
    history.append(operation(2.0, 2.1, Outcome.NOT_RUN))
    assert longest_write_pause(history, "one", 0.0, 5.0) == expected


def test_refusals_exclude_answers():
    """Guards against slow successes that count as slow refusals."""
    history = [operation(0, 2.0), operation(0, 0.25, Outcome.NOT_RUN)]
    assert refusal_latency(history, 0.99) == 0.25


def test_requests_cut_by_a_drain():
    """Guards against refusals, other proxies or later faults counted as cut."""
    history = [
        operation(0.9, 1.2, Outcome.UNKNOWN, proxy="p"),
        operation(1.1, 1.2, Outcome.NOT_RUN, proxy="p"),
        operation(1.1, 1.2, Outcome.UNKNOWN, proxy="q"),
        operation(9.0, 9.1, Outcome.UNKNOWN, proxy="p"),
    ]
    assert cut_requests(history, "p", 1.0, 5.0) == 1


def test_done_shares_ignore_refusals():
    """Guards against refused operations that count as done."""
    history = [
        operation(0, 1),
        operation(0, 1, rank="bulk"),
        operation(0, 1, Outcome.NOT_RUN, rank="bulk"),
    ]
    assert done_shares(history) == {"urgent": 0.5, "bulk": 0.5}


def test_configuration_delay_waits_for_the_last_host():
    """Guards against a change that counts as in force while one proxy lacks it."""
    samples = [
        VersionSample(1.0, "p", 2),
        VersionSample(1.5, "q", 1),
        VersionSample(3.0, "q", 3),
    ]
    assert config_delays([(0.5, 2), (0.5, 4)], samples, ["p", "q"]) == [2.5, None]


def test_reverted_versions():
    """Guards against an undetected return to an older configuration."""
    older = VersionSample(2.0, "p", 1)
    samples = [VersionSample(1.0, "p", 2), VersionSample(1.0, "q", 1), older]
    assert reverted_versions(samples) == [older]


def test_link_bytes_are_added_by_purpose():
    """Guards against omitted bytes of one direction or rank."""
    totals: dict[str, float] = {"statement": 1.0}
    name = "rosemaryward_region_link_bytes_total"
    text = (
        f'{name}{{direction="out",purpose="statement",rank="urgent"}} 10\n'
        f'{name}{{direction="in",purpose="monitoring",rank=""}} 5\nother 3\n'
    )
    add_link_bytes(text, totals)
    assert totals == {"statement": 11.0, "monitoring": 5.0}


def test_flood_offers_its_multiple():
    """Guards against a flood that offers less than its scenario says."""
    count, think_s = flood_size(10, 37.5)
    assert count / think_s == pytest.approx(375)
