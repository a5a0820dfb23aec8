"""Shares of a VM's sockets and memory that its ports may use."""

from __future__ import annotations

import unittest
from unittest.mock import Mock

from turmericpost.gateway.ports import (
    CALLERS,
    ENDPOINTS,
    FILE_DESCRIPTORS,
    RECEIVE_BUFFER_BYTES,
    new_caller_port,
)
from turmericpost.gateway.settings import VmResources
from turmericpost.http1.settings import CallerSettings

_MACHINES = (
    VmResources(300_000_000, 4100),
    VmResources(200_000_000, 8192),
    VmResources(552_000_000, 8192),
    VmResources(96_000_000, 500),
    VmResources(),
)


def _settings(resources: VmResources) -> list[CallerSettings]:
    return [
        new_caller_port(
            ('127.0.0.1', 1), Mock(), Mock(), Mock(), resources, share
        ).settings
        for share in (CALLERS, ENDPOINTS)
    ]


class PortSharesTest(unittest.TestCase):
    # Guards against limits for each connection or port whose sum is more than
    # half of the memory, bytes that were received and not read included.
    def test_memory_of_all_connections(self) -> None:
        for resources in _MACHINES:
            with self.subTest(resources):
                total_bytes = sum(
                    2 * settings.max_caller_memory_bytes
                    + settings.max_caller_connections * RECEIVE_BUFFER_BYTES
                    for settings in _settings(resources)
                )
                self.assertLessEqual(total_bytes, resources.memory_bytes / 2)

    # Guards against ports that leave no descriptors for servers and the store.
    def test_descriptors_of_all_connections(self) -> None:
        for resources in _MACHINES:
            with self.subTest(resources):
                connections = sum(
                    settings.max_caller_connections
                    for settings in _settings(resources)
                )
                sockets = resources.max_descriptors - FILE_DESCRIPTORS
                self.assertLess(connections, 2 * sockets / 3)

    # Guards against a part of a connection that is too small for a request.
    def test_part_of_a_connection_holds_a_usual_request(self) -> None:
        for resources in _MACHINES:
            with self.subTest(resources):
                settings, _ = _settings(resources)
                part_bytes = (
                    settings.max_caller_memory_bytes
                    // settings.max_caller_connections
                )
                self.assertGreaterEqual(part_bytes, RECEIVE_BUFFER_BYTES)


if __name__ == '__main__':
    unittest.main()
