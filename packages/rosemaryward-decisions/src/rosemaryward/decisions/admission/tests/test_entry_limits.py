import anyio
import pytest

from rosemaryward.decisions.admission import EntryShedder, TenantLimiter
from rosemaryward.decisions.document.schema import TenantLimits
from rosemaryward.decisions.errors import OverloadError
from rosemaryward.decisions.types import EndpointId, Rank

pytestmark = pytest.mark.looptime

ENDPOINT = EndpointId("bookings", "a")
DEADLINE_S = 2.0


def passes(shedder: EntryShedder, rank: Rank, endpoint: EndpointId = ENDPOINT) -> bool:
    try:
        shedder.check(endpoint, rank, DEADLINE_S)
    except OverloadError:
        return False
    return True


@pytest.mark.parametrize(
    ("refused", "waits", "passing"),
    [
        (Rank.BULK, None, {Rank.URGENT, Rank.NORMAL}),
        (Rank.NORMAL, None, {Rank.URGENT}),
        (Rank.URGENT, None, set()),
        (Rank.URGENT, {Rank.NORMAL: 5.0, Rank.BULK: 0.3}, {Rank.BULK}),
    ],
)
async def test_refusal_covers_equal_and_lower_ranks(
    refused: Rank, waits: dict[Rank, float] | None, passing: set[Rank]
) -> None:
    """Guards against shedding of higher ranks, and of ranks whose floor has room."""
    shedder = EntryShedder()
    shedder.record_refusal(ENDPOINT, refused, 1.0, waits)
    assert {rank for rank in Rank if passes(shedder, rank)} == passing
    assert passes(shedder, Rank.BULK, EndpointId("bookings", "b"))


async def test_refusal_expires_and_probes_pass_before() -> None:
    """Guards against shedding after the owner has recovered."""
    shedder = EntryShedder()
    shedder.record_refusal(ENDPOINT, Rank.BULK, 1.0)
    passed = 0
    for _ in range(9):
        await anyio.sleep(0.01)
        passed += passes(shedder, Rank.BULK)
    assert 1 <= passed <= 5
    await anyio.sleep(0.02)
    assert passes(shedder, Rank.BULK)
    assert not shedder.refusals


async def test_admitted_statement_ends_shedding() -> None:
    """Guards against shedding of a rank that the owner admits again."""
    shedder = EntryShedder()
    shedder.record_refusal(ENDPOINT, Rank.BULK, 1.0)
    assert not passes(shedder, Rank.BULK)
    shedder.record_admission(ENDPOINT, Rank.BULK)
    assert passes(shedder, Rank.BULK)


async def test_statement_rate_of_a_tenant_is_bounded() -> None:
    """Guards against a tenant that exceeds its statement rate."""
    limiter = TenantLimiter({"t": TenantLimits(statements_per_s=10.0)})
    admitted = 0
    retries: set[float] = set()
    for _ in range(300):
        try:
            limiter.admit_statement("t")
            admitted += 1
        except OverloadError as error:
            retries.add(error.retry_after_s)
        limiter.admit_statement("unlimited")
        await anyio.sleep(0.01)
    assert 35 <= admitted <= 40
    assert min(retries) > 0.0
    assert max(retries) <= 0.1


async def test_connections_of_a_tenant_are_bounded() -> None:
    """Guards against a tenant that exceeds its connection limit."""
    limiter = TenantLimiter({"t": TenantLimits(connections=2)})
    limiter.open_connection("t")
    limiter.open_connection("t")
    with pytest.raises(OverloadError):
        limiter.open_connection("t")
    limiter.close_connection("t")
    limiter.open_connection("t")
    limiter.open_connection("other")
