"""Overhead of the proxy, measured with real processes on the local machine."""
