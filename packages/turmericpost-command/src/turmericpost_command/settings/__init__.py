"""Settings: declared beside their users, resolved from flags and env."""
