"""Declaration of settings, and resolution from flags and environment."""
