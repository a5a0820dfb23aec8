"""The way of a call through an entry VM."""
