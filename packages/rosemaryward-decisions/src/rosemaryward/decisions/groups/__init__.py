"""Database groups: monitoring, failure detection, majorities and failover."""

from rosemaryward.decisions.groups.agreement import ReachabilityClient
from rosemaryward.decisions.groups.monitor import InstanceMonitor
from rosemaryward.decisions.groups.settings import GroupSettings
from rosemaryward.decisions.groups.supervisor import GroupSupervisor

__all__ = ["InstanceMonitor", "GroupSettings", "ReachabilityClient", "GroupSupervisor"]
