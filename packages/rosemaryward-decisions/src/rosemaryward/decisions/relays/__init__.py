"""Relays, which run the statements of many proxies over few connections.

An endpoint accepts fewer connections than a large fleet has proxies. One proxy near
the endpoint, its relay, then holds the connections and queues the statements of all
proxies. Imports no adapter.
"""
