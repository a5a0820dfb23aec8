"""Stand-ins for the platform and back ends, and the load tool."""
