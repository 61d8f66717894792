"""Crowds of misbehaving clients against real proxy processes."""
