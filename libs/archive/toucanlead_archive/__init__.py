"""Durable storage of finished turns on several disks, keyed by the id of their request."""
