"""State machines without I/O: program ledger, budget escrow, journal batching, checkpoints."""
