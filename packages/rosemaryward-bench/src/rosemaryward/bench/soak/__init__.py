"""Randomized soak test of real proxies on loopback with injected faults.

Proxies run as separate processes. The stand-ins for the platform, the callers, the
links between all of them and the checks run in the process of the soak.
"""
