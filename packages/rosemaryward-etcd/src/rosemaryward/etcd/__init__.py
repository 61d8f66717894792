"""Clients of the platform's key-value store and host list.

Imports only `rosemaryward.decisions`.
"""

from rosemaryward.etcd.hosts import HttpHostList
from rosemaryward.etcd.store import EtcdStore

__all__ = ["EtcdStore", "HttpHostList"]
