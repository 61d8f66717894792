"""Which endpoint is a group's primary, who may change it, and how."""
