"""What callers, servers and logs tell about a drill of the store."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

CONFIG_S = 2.0
CATCH_UP_S = 4.0
DEPARTURE_S = 4.5

_OK = 200
_NOT_FOUND = 404
_COUNTED_LINES = frozenset(
    ('store-era-changed', 'store-expired', 'update-conflicts')
)
_KNOWLEDGE_LINE = 'knowledge-changed'

VmsByState = Mapping[str, tuple[str, ...]]
_VmSets = defaultdict[str, set[str]]
_ProbeKey = tuple[str, int, bool]


@dataclass(frozen=True)
class Probe:
    """A call of a route that a version added or dropped."""

    vm_name: str
    version: int
    is_added: bool
    sent_s: float
    answered_s: float
    status: int

    @property
    def is_newer(self) -> bool:
        """Whether the response shows that the version is in force."""
        return self.status == self._statuses[0]

    @property
    def is_older(self) -> bool:
        """Whether the response shows that it is not."""
        return self.status == self._statuses[1]

    @property
    def _statuses(self) -> tuple[int, int]:
        """Status with the version in force, and with an older one."""
        if self.is_added:
            return _OK, _NOT_FOUND
        return _NOT_FOUND, _OK


@dataclass(frozen=True)
class ServerUse:
    """When a server had to be unused, and when requests reached it."""

    backend_id: str
    reason: str
    confirmed_s: float
    begun_s: tuple[float, ...]

    @property
    def late_s(self) -> tuple[float, ...]:
        """Seconds after the confirmation, of the requests that came too late."""
        ages_s = (begun_s - self.confirmed_s for begun_s in self.begun_s)
        return tuple(age_s for age_s in ages_s if age_s > DEPARTURE_S)


@dataclass
class Findings:
    """What was seen in a play.

    ``confirmed_s`` has the time of the last write of each version, ``started_s``
    from when on each VM that was killed counts. ``conflicts`` has the VMs by
    version for each failure domain and position logged with more than one
    version, ``last_states`` the VMs by their last version and position.
    """

    probes: list[Probe] = field(default_factory=list)
    confirmed_s: dict[int, float] = field(default_factory=dict)
    started_s: dict[str, float] = field(default_factory=dict)
    returned_s: float = 0
    uses: list[ServerUse] = field(default_factory=list)
    new_server_runs: int | None = None
    longest_stall_s: float = 0
    line_counts: Counter[str] = field(default_factory=Counter)
    conflicts: dict[str, VmsByState] = field(default_factory=dict)
    last_states: dict[str, VmsByState] = field(default_factory=dict)

    def due_s(self, vm_name: str, version: int) -> float:
        """Return from when on a version has to be in force on a VM."""
        return max(
            self.confirmed_s[version] + CONFIG_S,
            self.returned_s + CATCH_UP_S,
            self.started_s.get(vm_name, 0),
        )

    def violations(self) -> list[str]:
        """Return what should not have been seen.

        That a call got no response or was not served at the time is not part
        of it; see ``unserved``.
        """
        return [
            *self._describe_due(lambda probe: probe.is_older),
            *self._versions_gone_back(),
            *self._late_uses(),
        ]

    def unserved(self) -> list[str]:
        """Return the responses that were due and tell no version."""
        return list(
            self._describe_due(
                lambda probe: not (probe.is_older or probe.is_newer)
            )
        )

    def vms_serving(self) -> set[str]:
        """Return the VMs that served an added route that was due."""
        return {
            probe.vm_name
            for probe in self._due_probes()
            if probe.is_added and probe.is_newer
        }

    def due_counts(self) -> Counter[int]:
        """Return responses by status to calls of added routes that were due."""
        return Counter(
            probe.status for probe in self._due_probes() if probe.is_added
        )

    def _due_probes(self) -> Iterator[Probe]:
        for probe in self.probes:
            if probe.sent_s >= self.due_s(probe.vm_name, probe.version):
                yield probe

    def _describe_due(self, is_wrong: Callable[[Probe], bool]) -> Iterator[str]:
        """Describe the wrong responses to calls that were due."""
        wrong = Counter(
            (probe.vm_name, probe.version, probe.is_added, probe.status)
            for probe in self._due_probes()
            if is_wrong(probe)
        )
        for (vm_name, version, is_added, status), count in wrong.items():
            kind = _route_kind(is_added)
            yield f'{vm_name}: {kind} by {version}, {count} times {status}'

    def _versions_gone_back(self) -> Iterator[str]:
        """Yield VMs that served a version and then refused its route."""
        first_s: dict[_ProbeKey, float] = {}
        back: Counter[_ProbeKey] = Counter()
        for probe in sorted(self.probes, key=lambda each: each.answered_s):
            key = (probe.vm_name, probe.version, probe.is_added)
            if probe.is_newer:
                first_s.setdefault(key, probe.answered_s)
        for later in self.probes:
            key = (later.vm_name, later.version, later.is_added)
            seen_s = first_s.get(key, float('inf'))
            if later.is_older and later.sent_s > seen_s:
                back[key] += 1
        for (vm_name, version, is_added), count in sorted(back.items()):
            kind = _route_kind(is_added)
            yield f'{vm_name}: back before {version} ({kind}), {count} calls'

    def _late_uses(self) -> Iterator[str]:
        for use in self.uses:
            if use.late_s:
                yield (
                    f'{use.backend_id} ({use.reason}): {len(use.late_s)} '
                    f'requests, the last after {max(use.late_s):.1f} s'
                )


def read_logs(
    findings: Findings, folder: Path, domains: Mapping[str, str]
) -> None:
    """Count lines, and find positions with more than one version.

    ``domains`` has the failure domain of each VM.
    """
    versions: defaultdict[str, _VmSets] = defaultdict(_new_vm_sets)
    last_states: defaultdict[str, _VmSets] = defaultdict(_new_vm_sets)
    for log in sorted(folder.glob('*.log')):
        domain = domains[log.stem]
        last_state = ''
        for event in _read_events(log):
            name = event.get('name', 'no-event')
            if name in _COUNTED_LINES:
                findings.line_counts[name] += 1
            elif name == _KNOWLEDGE_LINE and event['config'] is not None:
                offset = f'offset {event["operator_offset"]}'
                version = f'version {event["config"]}'
                place = f'{domain}, era {event["store_era"]}, {offset}'
                versions[place][version].add(log.stem)
                last_state = f'{version} at {offset}'
        last_states[domain][last_state].add(log.stem)
    findings.conflicts = _sorted(versions, at_least=2)
    findings.last_states = _sorted(last_states, at_least=1)


def _route_kind(is_added: bool) -> str:
    return 'added' if is_added else 'dropped'


def _new_vm_sets() -> _VmSets:
    return defaultdict(set)


def _sorted(
    places: Mapping[str, _VmSets], at_least: int
) -> dict[str, VmsByState]:
    """Return the places with so many states, all in order."""
    return {
        place: {
            state: tuple(sorted(places[place][state]))
            for state in sorted(places[place])
        }
        for place in sorted(places)
        if len(places[place]) >= at_least
    }


def _read_events(log: Path) -> Iterator[dict[str, Any]]:
    """Yield the events of a log; other lines are events without a name."""
    for line in log.read_text(encoding='utf-8').splitlines():
        try:
            event = json.loads(line)
        except ValueError:
            event = None
        yield event if isinstance(event, dict) else {}
