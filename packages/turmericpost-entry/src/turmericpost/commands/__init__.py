"""Commands of the turmericpost binary."""
