"""Groups: partitions dealt to members, and committed offsets."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

PartitionName: TypeAlias = tuple[str, int]


@dataclass
class _Member:
    topics: tuple[str, ...]
    ttl_s: float
    heard_s: float
    generation: int = 0


@dataclass
class ConsumerGroup:
    """One group; every change of members deals the partitions anew."""

    parts: int
    generation: int = 0
    members: dict[str, _Member] = field(default_factory=dict)
    owners: dict[PartitionName, str] = field(default_factory=dict)
    committed: dict[PartitionName, int] = field(default_factory=dict)

    def join(
        self,
        name: str,
        topics: tuple[str, ...],
        ttl_s: float,
        now_s: float,
    ) -> int:
        """Join or stay; return the generation."""
        self.expire(now_s)
        known = self.members.get(name)
        member = _Member(topics, ttl_s, now_s)
        self.members[name] = member
        if known is None or known.topics != topics:
            self.deal()
        member.generation = self.generation
        return self.generation

    def leave(self, name: str) -> None:
        """Take a member out."""
        if self.members.pop(name, None) is not None:
            self.deal()

    def commit(
        self,
        name: str,
        part: PartitionName,
        offset: int,
        generation: int,
    ) -> bool:
        """Commit an offset; false for a member that does not hold it."""
        held = self.owners.get(part) == name
        if not held or generation < self.generation:
            return False
        self.committed[part] = offset
        return True

    def rows(self, name: str | None = None) -> list[list[object]]:
        """Return topic, partition, (member) and offset of partitions."""
        found: list[list[object]] = []
        for part, owner in sorted(self.owners.items()):
            offset = self.committed.get(part, 0)
            if name is None:
                found.append([*part, owner, offset])
            elif owner == name:
                found.append([*part, offset])
        return found

    def expire(self, now_s: float) -> None:
        """Take out the members that were silent for too long."""
        for name, member in tuple(self.members.items()):
            if now_s - member.heard_s > member.ttl_s:
                self.leave(name)

    def rewind(self, records: int) -> None:
        """Move every committed offset back."""
        for part, offset in self.committed.items():
            self.committed[part] = max(offset - records, 0)

    def deal(self) -> None:
        """Deal the partitions evenly."""
        self.generation += 1
        self.owners = {}
        topics = {
            topic for member in self.members.values() for topic in member.topics
        }
        turn = 0
        for topic in sorted(topics):
            fit = [
                name
                for name in sorted(self.members)
                if topic in self.members[name].topics
            ]
            for number in range(self.parts):
                self.owners[topic, number] = fit[turn % len(fit)]
                turn += 1
