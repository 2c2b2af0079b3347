"""Program ledger, budget escrow and journal as state machines without I/O."""
