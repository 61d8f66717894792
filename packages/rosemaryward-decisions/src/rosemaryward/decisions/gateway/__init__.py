"""Path of a statement from a caller's session to an endpoint and back."""
