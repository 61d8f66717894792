"""Test double of the platform's host list, which lags behind changes."""
