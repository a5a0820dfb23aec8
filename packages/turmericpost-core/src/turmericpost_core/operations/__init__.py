"""Operation keys: at most one run of a non-idempotent operation."""
