"""Messages between hosts and the allocators of the tenants' rates."""

import msgspec

__all__ = ["DonationReply", "LendReply", "LendRequest", "ShareDonation"]


class ShareDonation(msgspec.Struct, frozen=True, array_like=True, tag="donate"):
    """Give a part of the donor's share to an allocator for a short time.

    A donation replaces the earlier ones of the same donor and slice. The fraction 0
    ends them, and also asks for the allocator's clock before the first donation.

    Parameters
    ----------
    donor : str
        Name of the donating host.
    incarnation : str
        Process of the donor.
    allocator : str
        Incarnation of the allocator, which ignores a message for an earlier process.
    domain : str
        Failure domain that names the slice of the donor's share.
    sequence : int
        Increases with each message of the donor's process.
    fraction : float
        Donated fraction of every tenant's rate.
    until : float
        End of the donation by the allocator's clock, in seconds. The donor derives it
        from the clock in the last reply, so a delayed message lasts no longer.
    initial : bool
        Whether the donor's process gives this slice away for the first time, which
        adds the initial tokens of the slice.
    """

    donor: str
    incarnation: str
    allocator: str
    domain: str
    sequence: int
    fraction: float = 0.0
    until: float = 0.0
    initial: bool = False


class DonationReply(msgspec.Struct, frozen=True, array_like=True, tag="donated"):
    """State of the allocator after a donation.

    Parameters
    ----------
    accepted : bool
        Whether the message was meant for this process.
    clock : float
        Clock of the allocator when it handled the message, in seconds.
    uptime_s : float
        Age of the allocator's process in seconds.
    held : bool
        Whether an earlier process of the donor had given this slice to the allocator.
    released : bool
        Whether the allocator is leaving and has ended all donations of the slice.
    """

    accepted: bool
    clock: float
    uptime_s: float
    held: bool = False
    released: bool = False


class LendRequest(msgspec.Struct, frozen=True, array_like=True, tag="lend"):
    """Ask an allocator for tokens of a tenant.

    Parameters
    ----------
    tenant : str
        Name of the tenant.
    tokens : int
        Number of tokens, at least 1.
    """

    tenant: str
    tokens: int


class LendReply(msgspec.Struct, frozen=True, array_like=True, tag="lent"):
    """Tokens that the allocator lends.

    Parameters
    ----------
    tokens : int
        Number of tokens, at most as many as requested.
    retry_after_s : float
        Time until the host may ask again for this tenant, 0 if it got all tokens.
    """

    tokens: int
    retry_after_s: float = 0.0
