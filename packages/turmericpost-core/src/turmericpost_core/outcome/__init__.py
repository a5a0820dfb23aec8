"""Outcomes of calls and attempts, and the rules for retries."""
