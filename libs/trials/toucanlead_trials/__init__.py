"""Demo, fault-injection matrix, benchmark and scaling measurements."""
