"""Stand-ins (test doubles) for the platform and the back ends, and a recorder of violations."""
