"""Stand-ins for the platform and its backend servers, and the load tool."""
