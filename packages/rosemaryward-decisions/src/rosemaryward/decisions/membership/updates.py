"""Queue of updates that probes and their answers carry."""

import heapq
import math

from rosemaryward.decisions.membership.settings import MembershipSettings

__all__ = ["UpdateQueue"]


class UpdateQueue:
    """Keys of changed entries, each with its remaining transmissions.

    The queue holds keys only. The sender looks up the entry when it sends, so a
    superseded update is never sent.

    Parameters
    ----------
    settings : MembershipSettings

    Notes
    -----
    The first transmissions go to the targets of a push. Later ones are
    piggybacked on probes and reach the members that no push reached.
    """

    __slots__ = ("_transmissions_left", "settings")

    def __init__(self, settings: MembershipSettings) -> None:
        self.settings = settings
        self._transmissions_left: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._transmissions_left)

    def add(self, key: str, member_count: int) -> None:
        """Queue a changed entry for a cluster of `member_count` members."""
        piggybacked = math.ceil(
            self.settings.retransmission_factor * math.log10(member_count + 1)
        )
        self._transmissions_left.pop(key, None)
        self._transmissions_left[key] = self.settings.fanout + piggybacked

    def take(self, limit: int) -> list[str]:
        """Return up to `limit` keys, those with the most transmissions left first.

        Each returned key uses up one of its transmissions.
        """
        if len(self._transmissions_left) <= limit:
            keys = list(self._transmissions_left)
        else:
            keys = heapq.nlargest(
                limit,
                self._transmissions_left,
                key=self._transmissions_left.__getitem__,
            )
        for key in keys:
            if self._transmissions_left[key] <= 1:
                del self._transmissions_left[key]
            else:
                self._transmissions_left[key] -= 1
        return keys

    def clear(self) -> None:
        """Discard all updates."""
        self._transmissions_left.clear()
