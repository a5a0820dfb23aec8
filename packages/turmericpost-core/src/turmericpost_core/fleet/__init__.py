"""What the operator and the backend servers say of themselves."""
