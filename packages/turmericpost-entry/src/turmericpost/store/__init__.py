"""The platform's store: errors and plain record logs."""
