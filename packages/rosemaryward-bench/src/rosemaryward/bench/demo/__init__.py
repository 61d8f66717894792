"""Short demonstration run of a deployment with a failover and a flood."""
