"""Permits for attempts at backend servers, granted by the pool's broker."""
