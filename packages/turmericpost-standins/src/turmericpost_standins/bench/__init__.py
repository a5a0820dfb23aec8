"""Bench of the decision core on a fake clock, with baselines."""
