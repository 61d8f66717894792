"""Measured values of all performance targets, from runs with real processes."""
