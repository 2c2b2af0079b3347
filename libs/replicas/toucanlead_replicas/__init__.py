"""Replicas, the requests that they get and their responses, independent of any protocol."""
