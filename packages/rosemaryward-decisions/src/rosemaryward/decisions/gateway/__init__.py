"""Execution of callers' statements at endpoints, from session to reply."""
