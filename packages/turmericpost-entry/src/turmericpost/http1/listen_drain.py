"""Stops new connections to a listening socket without resetting pending ones.

Closing a listening socket resets connections whose handshake is complete but
that the process has not accepted yet. Before closing, a socket filter is
therefore installed that drops SYN packets, so that no new connections arrive
while the pending ones are accepted as usual.
"""

from __future__ import annotations

import ctypes
import socket
import struct

from result import Err, Ok, Result

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

    Closing may reset pending connections.
    """


def stop_new_connections(
    listening: socket.socket,
) -> Result[None, FilterUnsupportedError]:
    """Drop packets that open new connections to a listening socket."""
    program = b''.join(
        struct.pack('HBBI', *instruction) for instruction in _INSTRUCTIONS
    )
    program_buffer = ctypes.create_string_buffer(program)
    address = ctypes.addressof(program_buffer)
    filter_program = struct.pack('HL', len(_INSTRUCTIONS), address)
    try:
        listening.setsockopt(
            socket.SOL_SOCKET, _SO_ATTACH_FILTER, filter_program
        )
    except OSError as error:
        return Err(FilterUnsupportedError(str(error)))
    return Ok(None)
