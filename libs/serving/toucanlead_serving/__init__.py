"""Request path from callers to replicas, in which any entry can serve any program."""
