"""Validates request heads by RFC 9112 rules that the codec does not check."""

from __future__ import annotations

import re
from urllib.parse import urlsplit

from turmericpost.http1.heads import (
    CONTENT_LENGTH,
    HOST,
    TRANSFER_ENCODING,
    UPGRADE,
    RequestHead,
    connection_options,
)

_HOST = re.compile(rb"[\w.~!$&'()*+,;=%\[\]:-]+", re.ASCII)
_END_TO_END = frozenset((CONTENT_LENGTH, HOST, TRANSFER_ENCODING))
_ABSOLUTE_SCHEMES = (b'http://', b'https://')


def is_malformed(head: RequestHead) -> bool:
    """Return whether a request head must be refused with status 400.

    A request has exactly one valid Host field (RFC 9112, 3.2), and its
    target is a path, an absolute URI, or an asterisk for OPTIONS. Connection
    options must not name fields that say where the request ends or goes to.
    """
    hosts = [text for name, text in head.headers if name == HOST]
    if len(hosts) != 1 or _HOST.fullmatch(hosts[0]) is None:
        return True
    if connection_options(head.headers) & _END_TO_END:
        return True
    return not _is_valid_target(head)


def asks_for_upgrade(head: RequestHead) -> bool:
    """Return whether a request asks to continue with another protocol."""
    if head.first(UPGRADE) is None:
        return False
    return UPGRADE in connection_options(head.headers)


def _is_valid_target(head: RequestHead) -> bool:
    target = head.target
    if b'#' in target:
        return False
    if target == b'*':
        return head.method == 'OPTIONS'
    return target.startswith(b'/') or _is_absolute_uri(target)


def _is_absolute_uri(target: bytes) -> bool:
    if not target.lower().startswith(_ABSOLUTE_SCHEMES):
        return False
    try:
        return bool(urlsplit(target).netloc)
    except ValueError:
        return False
