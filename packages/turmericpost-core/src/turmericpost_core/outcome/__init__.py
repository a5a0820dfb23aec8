"""What a caller is told about its call, and why."""
