"""Adapters for the platform: settings file, store, records and header fields.

Only this package uses the names and formats of the platform. It converts
between them and the types of this project, and makes no decisions.
"""
