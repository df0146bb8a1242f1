"""What a task needs and a runner has: processor, memory and accelerators."""

from typing import final

import msgspec


@final
class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Processor in thousandths of a core, memory in MB, and whole accelerators."""

    processor: int = 0
    memory: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.processor + other.processor,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.processor - other.processor,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )

    def fits(self, room: "Resources") -> bool:
        """Whether `room` is enough for this need."""
        return (
            self.processor <= room.processor
            and self.memory <= room.memory
            and self.accelerators <= room.accelerators
        )

    def share_of(self, capacity: "Resources") -> float:
        """Return the largest share of `capacity` that this takes, over all kinds of resource."""
        shares = [
            part / whole
            for part, whole in (
                (self.processor, capacity.processor),
                (self.memory, capacity.memory),
                (self.accelerators, capacity.accelerators),
            )
            if whole > 0
        ]
        return max(shares, default=0.0)


NOTHING = Resources()
