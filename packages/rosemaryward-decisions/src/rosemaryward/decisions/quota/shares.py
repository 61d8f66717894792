"""Donations in force at an allocator, and their integral over time."""

import heapq

from rosemaryward.decisions.quota.messages import ShareDonation

__all__ = ["DONATION_TTL_S", "ShareLedger"]

DONATION_TTL_S = 2.0
# A message of the donor that was overtaken by a newer one has ended by then.
ENDED_RETENTION_S = 3.0
RECOUNT_INTERVAL = 4096  # changes after which rounding errors are removed

_Key = tuple[str, str]


class _Donation:
    """Newest donation of one donor for one slice."""

    __slots__ = ("fraction", "incarnation", "previous", "sequence", "until")

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.previous = ""
        self.sequence = -1
        self.fraction = 0.0
        self.until = float("-inf")


class ShareLedger:
    """Fractions of the tenants' rates that hosts have donated to one allocator.

    Attributes
    ----------
    total : float
        Sum of the fractions in force.
    integral : float
        Integral of `total` over time, in seconds.
    initial : float
        Sum of the fractions that processes have donated for the first time.
    has_fallen : bool
        Whether `total` has fallen since its user last cleared this.
    at : float
        Time up to which the donations were evaluated.
    """

    __slots__ = (
        "at",
        "changes",
        "donations",
        "ends",
        "has_fallen",
        "initial",
        "integral",
        "total",
    )

    def __init__(self, now: float) -> None:
        self.at = now
        self.total = 0.0
        self.has_fallen = False
        self.integral = 0.0
        self.initial = 0.0
        self.donations: dict[_Key, _Donation] = {}
        self.ends: list[tuple[float, _Key]] = []
        self.changes = 0

    def advance(self, now: float) -> None:
        """Evaluate the donations up to a time, in the order in which they end."""
        while self.ends and self.ends[0][0] <= now:
            at, key = heapq.heappop(self.ends)
            donation = self.donations.get(key)
            if donation is None:
                continue
            if donation.fraction and donation.until <= at:
                self._integrate(donation.until)
                self._set_fraction(donation, 0.0)
                heapq.heappush(self.ends, (donation.until + ENDED_RETENTION_S, key))
            elif not donation.fraction and donation.until + ENDED_RETENTION_S <= at:
                del self.donations[key]
        self._integrate(now)

    def is_held(self, message: ShareDonation) -> bool:
        """Return whether an earlier process of the donor has given the slice here."""
        donation = self.donations.get((message.donor, message.domain))
        return (
            donation is not None
            and donation.fraction > 0
            and donation.incarnation != message.incarnation
        )

    def apply(self, message: ShareDonation, now: float) -> None:
        """Replace the donation of a donor's slice, unless the message is outdated.

        Parameters
        ----------
        message : ShareDonation
            Donation, of which `advance` has evaluated the time before.
        now : float
            Time of its arrival.
        """
        key = (message.donor, message.domain)
        donation = self.donations.get(key)
        if donation is None:
            donation = self.donations[key] = _Donation(message.incarnation)
        if message.incarnation != donation.incarnation:
            if message.incarnation == donation.previous:
                return
            donation.previous = donation.incarnation
            donation.incarnation = message.incarnation
        elif message.sequence <= donation.sequence:
            return
        donation.sequence = message.sequence
        donation.until = min(message.until, now + DONATION_TTL_S)
        in_force = donation.until > now
        self._set_fraction(donation, message.fraction if in_force else 0.0)
        if in_force and message.initial:
            self.initial += message.fraction
        if not donation.fraction:
            donation.until = now
        heapq.heappush(
            self.ends,
            (donation.until + (0 if donation.fraction else ENDED_RETENTION_S), key),
        )

    def _integrate(self, until: float) -> None:
        if until > self.at:
            self.integral += self.total * (until - self.at)
            self.at = until

    def _set_fraction(self, donation: _Donation, fraction: float) -> None:
        if fraction == donation.fraction:
            return
        self.has_fallen = self.has_fallen or fraction < donation.fraction
        self.total = max(self.total + fraction - donation.fraction, 0.0)
        donation.fraction = fraction
        self.changes += 1
        if self.changes % RECOUNT_INTERVAL == 0:
            self.total = sum(other.fraction for other in self.donations.values())
