"""Stand-ins and a small deployment for the scripts of the third review."""
