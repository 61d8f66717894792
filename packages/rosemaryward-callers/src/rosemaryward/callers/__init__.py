"""MySQL server protocol for callers. Imports only `rosemaryward.decisions`."""
