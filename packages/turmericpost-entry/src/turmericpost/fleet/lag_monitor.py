"""Observes how far the state of this VM is behind, and logs it."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from turmericpost.fleet.messages import StateVersion
from turmericpost.observe.events import LogEvent, log_event
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.state import FleetState
from turmericpost_core.fleet.state_lag import (
    PartLag,
    StatedVersion,
    StateLag,
    StatePart,
    StateWay,
)


class LagMonitor:
    """Compares the versions that other VMs state with those of this VM.

    A part of the state that is behind for ``report_after_s`` seconds gets one
    log line, and another one once it has caught up.
    """

    def __init__(
        self, clock: Clock, state: FleetState, report_after_s: float
    ) -> None:
        self.lag = StateLag()
        self._clock = clock
        self._state = state
        self._report_after_s = report_after_s
        self._source = ''

    def version_stated(self, vm_name: str, stated: StateVersion) -> None:
        """Record the versions that another VM states."""
        now_s = self._clock.monotonic_s()
        versions = {
            StatePart.OPERATOR: stated.operator_offset,
            StatePart.REGISTRY: stated.backends,
        }
        for part, own_version in self._own_versions().items():
            if versions[part] > own_version:
                self.lag.part(part).record_statement(
                    StatedVersion(versions[part], vm_name, now_s)
                )

    def state_changed(self, source: str) -> None:
        """Record that this VM has newer state, and from whom."""
        self._source = source
        for part, own_version in self._own_versions().items():
            self.lag.part(part).record_own(own_version)

    def store_read(self, part: StatePart, begun_s: float) -> None:
        """Record that this VM has read the store itself."""
        self._source = part.value
        self.lag.part(part).record_read(begun_s)

    def failed(self, way: StateWay, cause: str) -> None:
        """Count a failure to pass on state."""
        self.lag.record_failure(way, cause)

    def report(self) -> None:
        """Log each part that has been behind for too long or has caught up."""
        now_s = self._clock.monotonic_s()
        own_versions = self._own_versions()
        for part in StatePart:
            part_lag = self.lag.part(part)
            is_late = part_lag.age_s(now_s) > self._report_after_s
            if is_late and not part_lag.is_reported:
                self._report_behind(part, part_lag, own_versions[part], now_s)
            elif part_lag.is_reported and part_lag.newest is None:
                part_lag.is_reported = False
                log_event(
                    LogEvent.STATE_CAUGHT_UP,
                    part=part.value,
                    source=self._source,
                    version=own_versions[part],
                )

    def gauges(self) -> Iterator[tuple[str, float]]:
        """Yield how long and how many records each part is behind."""
        now_s = self._clock.monotonic_s()
        for part, own_version in self._own_versions().items():
            part_lag = self.lag.part(part)
            newest = part_lag.newest
            missing = 0
            if newest is not None:
                missing = _offset(newest.version) - _offset(own_version)
            yield f'{part.value}_behind_s', part_lag.age_s(now_s)
            yield f'{part.value}_behind_records', missing

    def _report_behind(
        self, part: StatePart, part_lag: PartLag, own_version: Any, now_s: float
    ) -> None:
        newest = part_lag.newest
        part_lag.is_reported = True
        log_event(
            LogEvent.STATE_BEHIND,
            part=part.value,
            behind_s=round(part_lag.age_s(now_s), 3),
            version=own_version,
            stated_version=None if newest is None else newest.version,
            stated_by=None if newest is None else newest.vm_name,
            failures={
                f'{way.value} {cause}': count
                for (way, cause), count in part_lag.failures.items()
            },
        )

    def _own_versions(self) -> Mapping[StatePart, Any]:
        return {
            StatePart.OPERATOR: self._state.operator_offset,
            StatePart.REGISTRY: self._state.directory.version,
        }


def _offset(version: Any) -> int:
    """Return the offset of a version of either part."""
    return int(version[0] if isinstance(version, tuple) else version)
