"""Identifiers, errors, messages and the timer service shared by every library."""
