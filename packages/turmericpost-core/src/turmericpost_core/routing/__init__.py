"""Which backend servers may serve a call, and which one does."""
