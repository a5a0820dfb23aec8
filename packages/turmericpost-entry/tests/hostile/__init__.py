"""Callers that break the limits, against VM processes; run one at a time."""
