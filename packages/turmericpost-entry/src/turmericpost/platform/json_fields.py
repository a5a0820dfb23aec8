"""Reading of JSON that other programs have written."""

from __future__ import annotations

import json
from typing import Any

from twisted.internet.abstract import isIPAddress

from turmericpost.gateway.settings import Address

MALFORMED_ERRORS = (ArithmeticError, LookupError, TypeError, ValueError)
"""Exceptions that reading a field raises if it is missing or invalid."""

MAX_NAME_CHARACTERS = 255
"""Maximum length of a name in a record: the limit of the record's key."""

_MAX_PORT = 65535
_MAX_INTEGER = 0x7FFFFFFFFFFFFFFF


def parse_json(text: bytes) -> Any:
    """Return the value of a JSON text.

    Raises ``ValueError`` if it cannot be parsed or is nested too deeply.
    """
    try:
        return json.loads(text)
    except RecursionError:
        raise ValueError('nested too deeply') from None


def read_name(fields: Any, name: str) -> str:
    """Return a field that is a string of 1 to ``MAX_NAME_CHARACTERS``."""
    field = fields[name]
    if not isinstance(field, str):
        raise TypeError(f'{name} is not a string')
    if not 0 < len(field) <= MAX_NAME_CHARACTERS:
        raise ValueError(f'{name} has {len(field)} characters')
    return field


def read_count(fields: Any, name: str) -> int:
    """Return a field that is an integer from 0 to 2**63 - 1."""
    field = fields[name]
    if not isinstance(field, int) or isinstance(field, bool):
        raise TypeError(f'{name} is not an integer')
    if not 0 <= field <= _MAX_INTEGER:
        raise ValueError(f'{name} is out of range')
    return field


def parse_address(text: str) -> Address:
    """Return the IPv4 address and port in a text; else raise ``ValueError``."""
    host, _, port = text.rpartition(':')
    if not isIPAddress(host):
        raise ValueError('the host is not an IPv4 address')
    if not (port.isascii() and port.isdigit()):
        raise ValueError('the port is not a number')
    if not 0 < int(port) <= _MAX_PORT:
        raise ValueError('the port is out of range')
    return host, int(port)
