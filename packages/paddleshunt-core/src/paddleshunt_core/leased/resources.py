"""Resource amounts of tasks and runners: processor, memory and accelerators."""

from typing import Annotated, final

import msgspec

MAX_AMOUNT = 10**12
"""Largest amount of a resource in a frame: above any host's, and small enough to be summed.

Free resources may be negative, as a runner's capacity can shrink below its load.
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

    def fits(self, available: "Resources") -> bool:
        """Whether these resources are available in `available`."""
        return (
            self.processor <= available.processor
            and self.memory <= available.memory
            and self.accelerators <= available.accelerators
        )

    def share_of(self, capacity: "Resources") -> float:
        """Return the largest share of `capacity` that this uses, over all kinds of resource."""
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
