"""Archive of turns: written once under their request's id, on several disks."""
