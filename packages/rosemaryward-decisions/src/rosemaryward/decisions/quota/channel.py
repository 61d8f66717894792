"""Interface for the messages to allocators."""

from typing import Protocol

from rosemaryward.decisions.leadership.members import MemberRecord
from rosemaryward.decisions.quota.messages import (
    DonationReply,
    LendReply,
    LendRequest,
    ShareDonation,
)

__all__ = ["QuotaChannel"]


class QuotaChannel(Protocol):
    """Messages to the allocators on other hosts; each raises `PeerError`."""

    async def donate(
        self, member: MemberRecord, message: ShareDonation
    ) -> DonationReply:
        """Send a donation and return the allocator's reply."""

    async def borrow(self, member: MemberRecord, message: LendRequest) -> LendReply:
        """Ask an allocator for tokens and return its reply."""
