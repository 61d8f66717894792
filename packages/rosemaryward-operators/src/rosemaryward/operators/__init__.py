"""Administration API, command line and metrics.

Imports only `rosemaryward.decisions`.
"""
