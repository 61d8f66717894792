"""Gossip membership, endpoint ownership and configuration distribution."""

from rosemaryward.decisions.membership.configuration import (
    ConfigurationReplica,
    ConfigurationSettings,
)
from rosemaryward.decisions.membership.ownership import OwnershipMap, OwnershipTracker
from rosemaryward.decisions.membership.primaries import PrimaryDirectory
from rosemaryward.decisions.membership.rendezvous import assign_owners, proposer_order
from rosemaryward.decisions.membership.service import DocumentSource, MembershipService
from rosemaryward.decisions.membership.settings import MembershipSettings
from rosemaryward.decisions.membership.table import MemberTable

__all__ = [
    "ConfigurationReplica",
    "ConfigurationSettings",
    "DocumentSource",
    "MemberTable",
    "MembershipService",
    "MembershipSettings",
    "OwnershipMap",
    "OwnershipTracker",
    "PrimaryDirectory",
    "assign_owners",
    "proposer_order",
]
