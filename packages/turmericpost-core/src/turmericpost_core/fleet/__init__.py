"""State of the fleet: operator configuration and backend registry."""
