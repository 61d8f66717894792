"""Clients of the platform's store and host list.

Imports only `rosemaryward.decisions`.
"""

from rosemaryward.etcd.store import EtcdStore
from rosemaryward.etcd.hosts import HttpHostList

__all__ = ["EtcdStore", "HttpHostList"]
