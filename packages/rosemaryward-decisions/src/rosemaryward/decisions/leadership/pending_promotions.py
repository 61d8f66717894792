"""Promotion calls that may still take effect.

A promotion call without an answer may be executed seconds later, also after its caller
has lost the failover lock. The platform checks no fencing token, so such a call would
replace a primary that has acknowledged commits since. While a call for one endpoint may
take effect, no other endpoint of the group is promoted or published. The group's record
names these endpoints, so that the next holder of the lock knows them.
"""

import contextlib
from collections.abc import Callable, Iterable, Iterator

import structlog

from rosemaryward.decisions.clock import boot_time_s
from rosemaryward.decisions.errors import StoreError

__all__ = ["EFFECT_LIMIT_S", "PendingPromotions", "PromotionNotSentError"]

# The platform may execute a call that it has not answered this long afterwards.
EFFECT_LIMIT_S = 7.0

log = structlog.get_logger(__name__)


class PromotionNotSentError(StoreError):
    """A promotion call ended before the platform could receive it."""


class PendingPromotions:
    """Endpoints of each group whose promotion calls may still take effect.

    Parameters
    ----------
    clock : callable, optional
        Boot time in seconds.

    Attributes
    ----------
    until : dict of str to dict of str to float
        Boot time in seconds until which a call for an endpoint may take effect, by
        group and endpoint.
    unanswered : set of tuple of str
        Group and endpoint of the calls of this process that were not answered.
    """

    __slots__ = ("clock", "unanswered", "until")

    def __init__(self, clock: Callable[[], float] = boot_time_s) -> None:
        self.clock = clock
        self.until: dict[str, dict[str, float]] = {}
        self.unanswered: set[tuple[str, str]] = set()

    def observe(self, group: str, named: Iterable[str]) -> None:
        """Apply the endpoints that a group's newest record names."""
        known = self.until.get(group, {})
        limit = self.clock() + EFFECT_LIMIT_S
        self.until[group] = {e: known.get(e, limit) for e in named}

    def endpoints(self, group: str) -> list[str]:
        """Return the endpoints of a group whose calls may still take effect."""
        now = self.clock()
        return [e for e, limit in self.until.get(group, {}).items() if now < limit]

    def others(self, group: str, endpoint_id: str) -> list[str]:
        """Return the endpoints that prevent the promotion of another one."""
        return [e for e in self.endpoints(group) if e != endpoint_id]

    @contextlib.contextmanager
    def track_call(self, group: str, endpoint_id: str) -> Iterator[None]:
        """Track a call for as long as the context is open.

        If it ends with another error than `PromotionNotSentError`, or is cancelled,
        it may take effect later.
        """
        try:
            yield
        except PromotionNotSentError:
            raise
        except BaseException:
            self.unanswered.add((group, endpoint_id))
            log.warning(
                "promotion call not answered",
                group=group,
                endpoint=endpoint_id,
                may_take_effect_for_s=EFFECT_LIMIT_S,
            )
            raise
        finally:
            limit = self.clock() + EFFECT_LIMIT_S
            self.until.setdefault(group, {})[endpoint_id] = limit

    def resolve(self, group: str, endpoint_id: str) -> None:
        """Record that an answered call has taken effect, or was refused."""
        call = (group, endpoint_id)
        if call in self.unanswered and endpoint_id in self.endpoints(group):
            return  # the effect may be that of another call
        self.unanswered.discard(call)
        self.until.get(group, {}).pop(endpoint_id, None)
