"""MySQL client protocol for endpoints. Imports only `rosemaryward.decisions`."""
