"""Configuration document, its checks and the fold of the log."""
