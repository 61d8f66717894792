"""Callers that generate load on the proxies and record their operations."""
