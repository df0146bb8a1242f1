"""The store as the core's surroundings see it, in memory, with faults that a test sets."""

from collections.abc import Callable, Iterator

from paddleshunt_platform.store import (
    ABSENT,
    Listing,
    StoreError,
    Unanswered,
    Unreachable,
    Value,
    VersionConflict,
    Written,
)


class FakeStore:
    """The store as the core's surroundings see it, with faults to set."""

    def __init__(self) -> None:
        self.values: dict[str, Value] = {}
        self.revision = 1
        self.down = False
        self.lose_answers = 0
        self.written: Callable[[Value], None] = lambda value: None
        self._saved: dict[str, Value] = {}

    def get(self, key: str) -> Value | StoreError | None:
        return Unreachable("down") if self.down else self.values.get(key)

    def list(self, prefix: str) -> Listing | StoreError:
        if self.down:
            return Unreachable("down")
        found = tuple(v for k, v in self.values.items() if k.startswith(prefix))
        return Listing(found, self.revision)

    def compare_and_swap(self, key: str, data: bytes, version: int) -> object:
        if self.down:
            return Unreachable("down")
        found = self.values.get(key)
        if (found.version if found else ABSENT) != version:
            return VersionConflict(found)
        self.revision += 1
        self.values[key] = Value(key, data, self.revision)
        self.written(self.values[key])
        if self.lose_answers:
            self.lose_answers -= 1
            return Unanswered("lost")
        return Written()

    def watch(self, prefix: str, after: int) -> Iterator[Value | StoreError]:
        raise NotImplementedError

    def grant_lease(self, seconds: int) -> int | StoreError:
        raise NotImplementedError

    def renew_lease(self, lease: int) -> bool | StoreError:
        raise NotImplementedError

    def save(self) -> None:
        self._saved = dict(self.values)

    def restore(self) -> None:
        self.values = dict(self._saved)
