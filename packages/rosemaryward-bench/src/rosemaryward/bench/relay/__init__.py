"""TCP relay that simulates latency, a bandwidth limit and network partitions."""
