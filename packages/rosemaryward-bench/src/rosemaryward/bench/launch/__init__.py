"""Starts the test doubles and the proxies of one deployment."""
