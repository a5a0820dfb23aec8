"""Load balancing decisions of turmericpost, free of I/O.

The caller passes in events and the current time and gets decisions back.
"""
