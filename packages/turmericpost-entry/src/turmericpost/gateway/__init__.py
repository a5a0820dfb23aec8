"""Call handling of an entry VM, with a permit for each attempt."""
