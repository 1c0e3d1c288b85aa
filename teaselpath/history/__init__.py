"""History of concurrent runs and one checker per invariant."""
