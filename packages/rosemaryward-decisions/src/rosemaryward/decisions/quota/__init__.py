"""Rate limits of tenants that hold for the sum over all hosts.

Each registered host owns an equal share of every tenant's rate. It donates the share
for a short time to allocators, which lend tokens to the hosts whose callers need
them. Imports no adapter.
"""

from rosemaryward.decisions.quota.allocator import Allocator
from rosemaryward.decisions.quota.borrower import TenantQuota
from rosemaryward.decisions.quota.donor import ShareDonor
from rosemaryward.decisions.quota.limits import QuotaBounds, TenantRate
from rosemaryward.decisions.quota.messages import (
    DonationReply,
    LendReply,
    LendRequest,
    ShareDonation,
)
from rosemaryward.decisions.quota.ownership import OwnShare
from rosemaryward.decisions.quota.placement import AllocatorPlacement

__all__ = [
    "Allocator",
    "AllocatorPlacement",
    "DonationReply",
    "LendReply",
    "LendRequest",
    "OwnShare",
    "QuotaBounds",
    "ShareDonation",
    "ShareDonor",
    "TenantQuota",
    "TenantRate",
]
