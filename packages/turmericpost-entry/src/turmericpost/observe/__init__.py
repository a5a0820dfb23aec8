"""Log events and metrics."""
