"""Errors of the operator commands."""


class AdminError(Exception):
    """A refused request or an unreachable entry; the message is shown to the operator."""
