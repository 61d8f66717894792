"""Randomized soak: real proxies on loopback, with faults injected from outside.

Proxies run as separate processes. The stand-ins of the platform, the callers, the
links between all of them and the checks run in the soak's own process.
"""
