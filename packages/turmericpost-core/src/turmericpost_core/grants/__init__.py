"""Permits to use a backend server, given out by one VM for each."""
