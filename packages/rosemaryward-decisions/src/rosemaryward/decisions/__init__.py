"""Shared types, messages and decision logic of the proxy.

This package imports no other rosemaryward package.
"""
