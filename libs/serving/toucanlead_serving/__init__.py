"""Serving: from a caller's request to a replica's answer, without an owner of programs."""
