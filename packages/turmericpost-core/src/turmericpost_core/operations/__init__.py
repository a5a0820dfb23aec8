"""Operation keys, which make a non-idempotent operation run at most once."""
