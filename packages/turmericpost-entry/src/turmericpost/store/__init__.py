"""Interface to the platform's store: errors and append-only logs."""
