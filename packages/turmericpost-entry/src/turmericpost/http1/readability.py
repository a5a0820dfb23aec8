"""Tells whether a socket can be read without waiting."""

from __future__ import annotations

import select


def is_readable(file_descriptor: int) -> bool:
    """Return whether an open socket has bytes, a connection or an end to read.

    False for the negative descriptor of a closed socket.
    """
    if file_descriptor < 0:
        return False
    poller = select.poll()
    poller.register(file_descriptor, select.POLLIN)
    return bool(poller.poll(0))
