"""Refuse new connections without resetting those not yet accepted.

Closing a listening socket resets the connections whose handshake is done but
which the process has not accepted. A socket filter therefore drops packets
that open a connection first; the ones begun before are accepted as usual.
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
_KEEP_BYTES = 0xFFFFFFFF

_LOAD_BYTE = 0x30
_AND = 0x54
_JUMP_IF_EQUAL = 0x15
_RETURN = 0x6

_INSTRUCTIONS = (
    (_LOAD_BYTE, 0, 0, _TCP_FLAGS_BYTE),
    (_AND, 0, 0, _SYN_AND_ACK),
    (_JUMP_IF_EQUAL, 0, 1, _SYN),
    (_RETURN, 0, 0, 0),
    (_RETURN, 0, 0, _KEEP_BYTES),
)


class FilterUnsupportedError(Exception):
    """The system has no socket filters; the race of closing stays."""


def stop_new_connections(
    listening: socket.socket,
) -> Result[None, FilterUnsupportedError]:
    """Drop the packets that open connections to a listening socket."""
    program = b''.join(
        struct.pack('HBBI', *instruction) for instruction in _INSTRUCTIONS
    )
    buffer = ctypes.create_string_buffer(program)
    address = ctypes.addressof(buffer)
    described = struct.pack('HL', len(_INSTRUCTIONS), address)
    try:
        listening.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, described)
    except OSError as error:
        return Err(FilterUnsupportedError(str(error)))
    return Ok(None)
