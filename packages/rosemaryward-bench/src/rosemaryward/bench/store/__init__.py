"""Test double of the platform's key-value store with the etcd v3 HTTP API."""
