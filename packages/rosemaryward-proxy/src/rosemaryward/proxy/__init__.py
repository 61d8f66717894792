"""Composition root and entry points of the proxy process.

May import every package except `rosemaryward.bench`.
"""
