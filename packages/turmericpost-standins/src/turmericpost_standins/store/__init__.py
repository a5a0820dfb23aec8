"""Stand-in for the platform's store, which speaks its published protocol."""
