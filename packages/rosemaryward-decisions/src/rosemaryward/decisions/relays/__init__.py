"""Statements of many proxies over the connections of a few.

An endpoint accepts fewer connections than a large fleet has proxies. One proxy near
the endpoint, its relay, then holds the connections and queues the statements of all.
Imports no adapter.
"""
