"""Routing of statements: classification, sessions, the entry and the owner path."""
