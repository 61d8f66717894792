"""Test doubles, load generator and experiments; not imported by other packages."""
