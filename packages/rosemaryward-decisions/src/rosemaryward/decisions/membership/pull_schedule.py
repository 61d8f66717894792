"""Rate limit of full state exchanges between proxies (anti-entropy)."""

from rosemaryward.decisions.membership.settings import MembershipSettings

__all__ = ["PullSchedule"]

ENTRY_BYTES = 75  # assumed size of one entry in a full exchange


class PullSchedule:
    """Decides when to pull all entries of one kind from another proxy.

    Updates in transit make digests differ briefly. Only a difference that
    persists justifies the traffic of a full exchange.

    Parameters
    ----------
    settings : MembershipSettings
    """

    __slots__ = ("_differs_since", "_last_pull", "settings")

    def __init__(self, settings: MembershipSettings) -> None:
        self.settings = settings
        self._differs_since: float | None = None
        self._last_pull: float | None = None

    def due(
        self, own_digest: int, peer_digest: int, entry_count: int, now: float
    ) -> bool:
        """Return whether to pull from another proxy now.

        Parameters
        ----------
        own_digest, peer_digest : int
            Digests of this proxy's and of the other proxy's entries.
        entry_count : int
            Entries that this proxy has, as an estimate of the exchange's size.
        now : float
            Time of the event loop in seconds.
        """
        if own_digest == peer_digest:
            self._differs_since = None
            return False
        if self._last_pull is None:
            return True
        if self._differs_since is None:
            self._differs_since = now
        settings = self.settings
        transfer_s = entry_count * ENTRY_BYTES / settings.pull_bytes_per_s
        rate_allows = now - self._last_pull >= max(settings.pull_interval_s, transfer_s)
        return rate_allows and now - self._differs_since >= settings.pull_interval_s

    def note_pull(self, now: float) -> None:
        """Record that a pull starts now."""
        self._last_pull = now
        self._differs_since = None
