"""Checks of a soak: servers that leave or ask for pauses get what they state."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from tests.soak.callers import SentRequest
from tests.soak.vm_process import VmProcess
from turmericpost_standins.platform_backend import Arrival, Statement

_DRAIN_S = 2.0
_SLACK_S = 0.5
_MAX_IN_PAUSE = 2
_OK = 200


def check_statements(
    statements: Sequence[Statement],
    arrivals: Sequence[Arrival],
    requests: Mapping[str, SentRequest],
) -> Iterator[str]:
    """Yield the requests that reached one server against its statements.

    ``requests`` are those of all callers by id, which tell the VM.
    """
    known = [
        (arrival, requests[arrival.request_id])
        for arrival in arrivals
        if arrival.request_id in requests
    ]
    for statement in statements:
        told = requests.get(statement.request_id)
        if told is None:
            continue
        if statement.is_leaving:
            yield from _check_leaving(told, known)
        else:
            yield from _check_pause(statement, told.vm, known)


def _check_leaving(
    told: SentRequest, arrivals: Sequence[tuple[Arrival, SentRequest]]
) -> Iterator[str]:
    if told.status != _OK:
        return
    for arrival, sent in arrivals:
        is_late = sent.sent_s > told.ended_s + _DRAIN_S
        is_same_vm = sent.vm is told.vm
        if (
            is_late
            and is_same_vm
            and not told.vm.was_disturbed(told.ended_s, arrival.arrived_s)
        ):
            late_s = sent.sent_s - told.ended_s
            vm = told.vm.settings.name
            yield f'{sent.request_id} at {vm} sent {late_s:.2f} s after leaving'


def _check_pause(
    statement: Statement,
    vm: VmProcess,
    arrivals: Sequence[tuple[Arrival, SentRequest]],
) -> Iterator[str]:
    end_s = statement.stated_s + (statement.pause_s or 0)
    if vm.was_disturbed(statement.stated_s - _SLACK_S, end_s):
        return
    within = [
        sent.request_id
        for arrival, sent in arrivals
        if sent.vm is vm
        and statement.stated_s + _SLACK_S < arrival.arrived_s < end_s
    ]
    if len(within) > _MAX_IN_PAUSE:
        name = vm.settings.name
        yield f'{within} of {name} arrived in a pause'
