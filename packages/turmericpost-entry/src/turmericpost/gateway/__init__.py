"""Call handling of an entry VM: each attempt at a backend server has a permit."""
