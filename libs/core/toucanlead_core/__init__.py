"""Identifiers, errors, messages, settings and timers shared by all libraries."""
