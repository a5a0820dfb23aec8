"""Configuration document, its validation and its change log."""
