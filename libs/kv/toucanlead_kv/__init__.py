"""Clients of the platform: the key-value service and the VM list."""
