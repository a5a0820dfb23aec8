"""Consumer groups: assignment of partitions to members, committed offsets."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

TopicPartition: TypeAlias = tuple[str, int]


@dataclass
class _Member:
    topics: tuple[str, ...]
    ttl_s: float
    last_join_s: float
    generation: int = 0


@dataclass
class ConsumerGroup:
    """One consumer group of the store.

    A change of the members or of their topics assigns all partitions anew and
    increases the generation.
    """

    partitions_per_topic: int
    generation: int = 0
    members: dict[str, _Member] = field(default_factory=dict)
    owners: dict[TopicPartition, str] = field(default_factory=dict)
    committed_offsets: dict[TopicPartition, int] = field(default_factory=dict)

    def join(
        self,
        name: str,
        topics: tuple[str, ...],
        ttl_s: float,
        now_s: float,
    ) -> int:
        """Add a member or renew its time to live; return the generation."""
        self.expire(now_s)
        previous = self.members.get(name)
        member = _Member(topics, ttl_s, now_s)
        self.members[name] = member
        if previous is None or previous.topics != topics:
            self.rebalance()
        member.generation = self.generation
        return self.generation

    def leave(self, name: str) -> None:
        """Remove a member and reassign its partitions."""
        if self.members.pop(name, None) is not None:
            self.rebalance()

    def commit(
        self,
        name: str,
        partition: TopicPartition,
        offset: int,
        generation: int,
    ) -> bool:
        """Commit an offset of a partition.

        Returns false, and commits nothing, if the member does not own the
        partition or names an old generation.
        """
        is_owner = self.owners.get(partition) == name
        if not is_owner or generation < self.generation:
            return False
        self.committed_offsets[partition] = offset
        return True

    def list_assignments(self, name: str | None = None) -> list[list[object]]:
        """Return the assigned partitions as rows of the HTTP response.

        A row is ``[topic, partition, offset]`` for the partitions of one member,
        and ``[topic, partition, member, offset]`` if no member is named.
        """
        assignments: list[list[object]] = []
        for partition, owner in sorted(self.owners.items()):
            offset = self.committed_offsets.get(partition, 0)
            if name is None:
                assignments.append([*partition, owner, offset])
            elif owner == name:
                assignments.append([*partition, offset])
        return assignments

    def expire(self, now_s: float) -> None:
        """Remove the members whose time to live has passed since their last join."""
        for name, member in tuple(self.members.items()):
            if now_s - member.last_join_s > member.ttl_s:
                self.leave(name)

    def rewind_offsets(self, records: int) -> None:
        """Move every committed offset back by a number of records, at most to 0."""
        for partition, offset in self.committed_offsets.items():
            self.committed_offsets[partition] = max(offset - records, 0)

    def rebalance(self) -> None:
        """Assign the partitions of each topic to its subscribers in turn."""
        self.generation += 1
        self.owners = {}
        topics = {
            topic for member in self.members.values() for topic in member.topics
        }
        assigned_count = 0
        for topic in sorted(topics):
            subscribers = [
                name
                for name in sorted(self.members)
                if topic in self.members[name].topics
            ]
            for number in range(self.partitions_per_topic):
                self.owners[topic, number] = subscribers[
                    assigned_count % len(subscribers)
                ]
                assigned_count += 1
