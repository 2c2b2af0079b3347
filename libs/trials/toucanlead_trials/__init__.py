"""Demo, fault matrix, benchmark and slope measurements."""
