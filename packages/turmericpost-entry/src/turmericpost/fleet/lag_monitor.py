"""Observes how far the state of this VM is behind, and logs it."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from turmericpost.fleet.messages import StateVersion
from turmericpost.observe.events import LogEvent, log_event
from turmericpost.observe.repeated_failures import RepeatedFailures
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.state import FleetState, FleetUpdate
from turmericpost_core.fleet.state_lag import (
    BUSY,
    CONFLICT,
    EXCEPTION,
    MISMATCH,
    StatedVersion,
    StateLag,
    StatePart,
    StateWay,
)
from turmericpost_core.fleet.store_position import StorePosition

CALM_S = 5.0
"""Time without a lag after which a VM counts as caught up: while a way is
broken, each new version makes it fall behind again."""

_UNLOGGED = frozenset((BUSY, EXCEPTION))
"""Causes that get no line: a limit that is no fault, and an exception, which
has a line of its own.
"""


_HAND_ON_WAYS = frozenset((StateWay.SEND_PUSH, StateWay.SERVE_FETCH))


class LagMonitor:
    """Compares the versions that other VMs state with those of this VM.

    A part of the state that is behind for ``report_after_s`` seconds gets one
    log line, and another one once it has caught up for good.
    """

    def __init__(
        self,
        clock: Clock,
        state: FleetState,
        report_after_s: float,
        hand_on_failed: Callable[[float], None],
    ) -> None:
        self.lag = StateLag()
        self._clock = clock
        self._state = state
        self._report_after_s = report_after_s
        self._hand_on_failed = hand_on_failed
        self._source = ''
        self._reports: dict[StatePart, _Report] = {}
        self._logged_failures = RepeatedFailures(clock.monotonic_s)

    def version_stated(self, vm_name: str, stated: StateVersion) -> None:
        """Record the versions that another VM states."""
        now_s = self._clock.monotonic_s()
        versions = {
            StatePart.OPERATOR: stated.operator_offset,
            StatePart.REGISTRY: stated.backends,
        }
        for part, own_version in self._own_versions().items():
            part_lag = self.lag.part(part)
            part_lag.record_own(own_version)
            if versions[part] > own_version:
                part_lag.record_statement(
                    StatedVersion(versions[part], vm_name, now_s)
                )

    def state_changed(self, source: str) -> None:
        """Record that this VM has newer state, and from whom."""
        self._source = source
        for part, own_version in self._own_versions().items():
            self.lag.part(part).record_own(own_version)

    def store_read(self, part: StatePart, begun_s: float) -> None:
        """Record that this VM has read the store itself."""
        self.lag.part(part).record_read(begun_s)

    def failed(self, way: StateWay, cause: str, **details: object) -> None:
        """Count a failure to pass on state; log it once a minute by cause.

        A push that does not match the state follows a lost datagram.
        """
        self.lag.record_failure(way, cause)
        if way in _HAND_ON_WAYS:
            self._hand_on_failed(self._clock.monotonic_s())
        is_lost_push = way is StateWay.PUSH and cause == MISMATCH
        if is_lost_push or cause in _UNLOGGED:
            return
        left_out = self._logged_failures.record((way, cause))
        if left_out is not None:
            log_event(
                LogEvent.UPDATE_DIFFERS
                if cause == MISMATCH
                else LogEvent.UPDATE_FAILED,
                way=way.value,
                cause=cause,
                left_out=left_out,
                **details,
            )

    def update_received(
        self, way: StateWay, vm_name: str, update: FleetUpdate
    ) -> None:
        """Log an update with another configuration at the same position.

        That cannot be while the store keeps what it has acknowledged.
        """
        own = self._state.versions
        is_same_position = update.operator_offset == own.operator_offset
        if not is_same_position or update.config_version == own.config:
            return
        left_out = self._logged_failures.record((way, CONFLICT))
        if left_out is not None:
            log_event(
                LogEvent.UPDATE_CONFLICTS,
                way=way.value,
                vm=vm_name,
                operator_offset=own.operator_offset.offset,
                era=own.operator_offset.era,
                config=own.config,
                stated_config=update.config_version,
                left_out=left_out,
            )

    def report(self) -> None:
        """Log each part that has been behind for too long or has caught up."""
        now_s = self._clock.monotonic_s()
        for part in StatePart:
            age_s = self.lag.part(part).age_s(now_s)
            report = self._reports.get(part)
            if age_s > self._report_after_s:
                self._record_late(part, age_s, now_s)
            elif report is not None and now_s - report.last_s > CALM_S:
                self._report_caught_up(part, self._reports.pop(part))

    def gauges(self) -> Iterator[tuple[str, float]]:
        """Yield how long and how many records each part is behind."""
        now_s = self._clock.monotonic_s()
        for part, own_version in self._own_versions().items():
            part_lag = self.lag.part(part)
            newest = part_lag.newest
            missing = 0
            if newest is not None:
                missing = _records_between(own_version, newest.version)
            yield f'{part.value}_behind_s', part_lag.age_s(now_s)
            yield f'{part.value}_behind_records', missing

    def _record_late(self, part: StatePart, age_s: float, now_s: float) -> None:
        """Log that a part is behind, unless a line says so already."""
        known = self._reports.get(part)
        longest_s = 0 if known is None else known.longest_s
        self._reports[part] = _Report(now_s, max(longest_s, age_s))
        part_lag = self.lag.part(part)
        newest = part_lag.newest
        if known is not None or newest is None:
            return
        log_event(
            LogEvent.STATE_BEHIND,
            part=part.value,
            behind_s=round(age_s, 3),
            version=self._own_position(part).offset,
            era=self._own_position(part).era,
            stated_version=_position(newest.version).offset,
            stated_era=_position(newest.version).era,
            stated_by=newest.vm_name,
            failures={
                f'{way.value} {cause}': count
                for (way, cause), count in part_lag.failures.items()
            },
        )

    def _report_caught_up(self, part: StatePart, report: _Report) -> None:
        log_event(
            LogEvent.STATE_CAUGHT_UP,
            part=part.value,
            source=self._source,
            version=self._own_position(part).offset,
            era=self._own_position(part).era,
            longest_behind_s=round(report.longest_s, 3),
        )

    def _own_position(self, part: StatePart) -> StorePosition:
        return _position(self._own_versions()[part])

    def _own_versions(self) -> Mapping[StatePart, Any]:
        return {
            StatePart.OPERATOR: self._state.operator_offset,
            StatePart.REGISTRY: self._state.directory.version,
        }


@dataclass(frozen=True)
class _Report:
    """When a reported part was last late, and the longest time."""

    last_s: float
    longest_s: float


def _position(version: Any) -> StorePosition:
    """Return the position of a version of either part."""
    return StorePosition(version[0] if isinstance(version, tuple) else version)


def _records_between(own_version: Any, newest_version: Any) -> int:
    """Return how many records a version is behind another one."""
    own, newest = _position(own_version), _position(newest_version)
    own_offset = own.offset if own.is_of_era(newest.era) else 0
    return newest.offset - own_offset
