"""The way of calls at an entry VM whose servers are shared by permits."""
