"""Validates request heads by RFC 9112 rules that the codec does not check."""

from __future__ import annotations

import re

from turmericpost.http1.heads import HOST, RequestHead

_HOST = re.compile(rb"[\w.~!$&'()*+,;=%\[\]:-]+", re.ASCII)
_ABSOLUTE_SCHEMES = (b'http://', b'https://')


def is_malformed(head: RequestHead) -> bool:
    """Return whether a request head must be refused with status 400.

    A request has exactly one valid Host field (RFC 9112, 3.2), and its
    target is a path, an absolute URI, or an asterisk for OPTIONS.
    """
    hosts = [text for name, text in head.headers if name == HOST]
    if len(hosts) != 1 or _HOST.fullmatch(hosts[0]) is None:
        return True
    return not _is_valid_target(head)


def _is_valid_target(head: RequestHead) -> bool:
    target = head.target
    if b'#' in target:
        return False
    if target == b'*':
        return head.method == 'OPTIONS'
    return target.startswith(b'/') or target.lower().startswith(
        _ABSOLUTE_SCHEMES
    )
