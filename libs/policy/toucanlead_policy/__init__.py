"""Scheduling decisions as pure objects: no I/O, no clock, no hidden randomness."""
