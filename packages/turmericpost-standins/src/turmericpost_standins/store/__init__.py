"""Stand-in for the platform's store that implements its published protocol."""
