"""Closes a listening socket without resetting pending connections.

Closing a listening socket resets connections whose handshake is complete but
that the process has not accepted yet. Before closing, a socket filter is
therefore installed that drops SYN packets, so that no new connections arrive
while the pending ones are accepted.
"""

from __future__ import annotations

import socket
import struct
from array import array
from typing import Any

from result import Err, Ok, Result
from twisted.internet.task import deferLater

from turmericpost.http1.readability import is_readable

_HANDSHAKE_S = 0.1
_MAX_PENDING_CONNECTIONS = 4096

_SO_ATTACH_FILTER = 26
_TCP_FLAGS_BYTE = 13
_SYN = 0x2
_SYN_AND_ACK = 0x12
_KEEP_WHOLE_PACKET = 0xFFFFFFFF

_LOAD_BYTE = 0x30
_BITWISE_AND = 0x54
_JUMP_IF_EQUAL = 0x15
_RETURN = 0x6

_INSTRUCTIONS = (
    (_LOAD_BYTE, 0, 0, _TCP_FLAGS_BYTE),
    (_BITWISE_AND, 0, 0, _SYN_AND_ACK),
    (_JUMP_IF_EQUAL, 0, 1, _SYN),
    (_RETURN, 0, 0, 0),
    (_RETURN, 0, 0, _KEEP_WHOLE_PACKET),
)


class FilterUnsupportedError(Exception):
    """The system has no socket filters.

    A connection that arrives in the moment of the closing may be reset.
    """


async def close_listening_port(
    reactor: Any, port: Any
) -> Result[None, FilterUnsupportedError]:
    """Accept all pending connections of a Twisted port, and close it.

    The error tells that new connections arrived until the end.
    """
    filter_result = stop_new_connections(port.socket)
    await deferLater(reactor, _HANDSHAKE_S)
    # The port closes its socket in the next iteration of the reactor.
    reactor.callLater(0, _accept_pending, port)
    await port.stopListening()
    return filter_result


def stop_new_connections(
    listening: socket.socket,
) -> Result[None, FilterUnsupportedError]:
    """Drop packets that open new connections to a listening socket."""
    program = b''.join(
        struct.pack('HBBI', *instruction) for instruction in _INSTRUCTIONS
    )
    program_buffer = array('B', program)
    address, _ = program_buffer.buffer_info()
    filter_program = struct.pack('HL', len(_INSTRUCTIONS), address)
    try:
        listening.setsockopt(
            socket.SOL_SOCKET, _SO_ATTACH_FILTER, filter_program
        )
    except OSError as error:
        return Err(FilterUnsupportedError(str(error)))
    return Ok(None)


def _accept_pending(port: Any) -> None:
    """Accept until no connection is left; one read may accept a single one."""
    for _ in range(_MAX_PENDING_CONNECTIONS):
        if not is_readable(port.fileno()):
            return
        port.doRead()
