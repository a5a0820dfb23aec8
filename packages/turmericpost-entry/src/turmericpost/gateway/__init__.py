"""Forwards calls at an entry VM to backend servers, one permit per attempt."""
