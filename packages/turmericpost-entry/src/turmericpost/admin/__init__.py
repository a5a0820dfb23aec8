"""HTTP API for operators on the admin port."""
