"""What a task needs and a runner has: processor, memory and accelerators."""

from typing import Annotated, final

import msgspec

MAX_AMOUNT = 10**12
"""Of anything, in a frame: far above any host, and sums of it still fit into a frame.

What is free may be negative: a runner's capacity can shrink below what runs there.
"""

Amount = Annotated[int, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]


@final
class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Processor in thousandths of a core, memory in MB, and whole accelerators."""

    processor: Amount = 0
    memory: Amount = 0
    accelerators: Amount = 0

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


NO_RESOURCES = Resources()
