"""Scheduling policies without I/O; the caller passes in the time and the random generator."""
