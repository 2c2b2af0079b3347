"""Stand-ins and a small deployment for the scripts of this review."""
