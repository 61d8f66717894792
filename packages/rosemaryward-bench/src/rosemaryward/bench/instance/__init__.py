"""Test double of a database instance: MySQL protocol over in-memory SQLite."""
