"""Checks the checker: each planted bug must violate the rule that is meant to detect it."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import paddleshunt_core.allotments as allotments
import pytest
import scenario
from paddleshunt_core.allotments import Part
from paddleshunt_core.checker import Rule
from paddleshunt_core.effects import Effect
from paddleshunt_core.gate import Gate, _Channel
from paddleshunt_core.home import Home
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.job import Job, TaskState
from paddleshunt_core.outcomes import Complete, NotRun, Outcome
from paddleshunt_core.table import Row, TableController, TableDocument

Plant = Callable[[pytest.MonkeyPatch], None]


def accept_repeated_messages(patch: pytest.MonkeyPatch) -> None:
    """A gate accepts late and repeated messages."""
    accept_message = Gate._accept_message

    def accept_always(self: Gate, now: float, home: Incarnation, *rest: Any) -> _Channel | None:
        if home in self._channels:
            self._channels[home].seen_seq = 0
        return accept_message(self, now, home, *rest)

    patch.setattr(Gate, "_accept_message", accept_always)


def forget_refusals(patch: pytest.MonkeyPatch) -> None:
    """A home keeps no record of an outcome of not run."""
    close = Home._close

    def close_and_forget(self: Home, now: float, job: Job, outcome: Outcome) -> list[Effect]:
        effects = close(self, now, job, outcome)
        if isinstance(outcome, NotRun):
            del self._records._records[job.submission]
        return effects

    patch.setattr(Home, "_close", close_and_forget)


def place_lost_tasks_again(patch: pytest.MonkeyPatch) -> None:
    """A home sends the tasks of a lost target to another one."""
    patch.setattr(Job, "mark_lost", lambda self, index, why: self.put_back(index))


def raise_share_too_early(patch: pytest.MonkeyPatch) -> None:
    """An allotment raises a share as soon as another is lowered, before its holder adopts that."""
    raise_shares = allotments._raise

    def raise_at_once(
        row: Row, parts: list[Part], wanted: dict[Incarnation, tuple[int, int]], revision: int
    ) -> list[Part]:
        freed = [
            msgspec.structs.replace(p, held_running=p.running, held_in_flight=p.in_flight)
            for p in parts
        ]
        return raise_shares(row, freed, wanted, revision)

    patch.setattr(allotments, "_raise", raise_at_once)


def adopt_any_revision(patch: pytest.MonkeyPatch) -> None:
    """A process adopts tables of any revision."""

    def adopt(self: TableController, document: TableDocument) -> bool:
        self.document = document
        return True

    patch.setattr(TableController, "adopt", adopt)
    patch.setattr(TableController, "adopt_from_store", lambda self, document: self.adopt(document))


def answer_partially(patch: pytest.MonkeyPatch) -> None:
    """A job is complete while one task is unfinished."""

    def settled_outcome(self: Job, *, at_deadline: bool, retry_after_ms: int) -> Outcome | None:
        if self.unfinished > 1:
            return None
        done = [r for r, s in zip(self.results, self.states, strict=True) if s == TaskState.DONE]
        return Complete(done)

    patch.setattr(Job, "settled_outcome", settled_outcome)


def mix_up_results(patch: pytest.MonkeyPatch) -> None:
    """Results are in the order of their arrival instead of that of the tasks."""
    finish = Job.finish

    def finish_next(self: Job, index: int, *, ok: bool, payload: bytes) -> None:
        finish(self, index, ok=ok, payload=payload)
        self.results[index] = b""
        self.results[len(self.payloads) - self.unfinished - 1] = payload

    patch.setattr(Job, "finish", finish_next)


def start_while_leaving(patch: pytest.MonkeyPatch) -> None:
    """A leaving gate accepts new tasks."""
    patch.setattr(Gate, "leave", lambda self: None)
    patch.setattr(Home, "update_peers", _update_without_leaving(Home.update_peers))


def _update_without_leaving(update: Callable[..., None]) -> Callable[..., None]:
    def update_peers(self: Home, now: float, peers: object, closed: set[str]) -> None:
        staying = [msgspec.structs.replace(p, leaving=False) for p in peers]  # type: ignore[attr-defined]
        update(self, now, staying, closed)

    return update_peers


@pytest.mark.parametrize(
    ("plant", "name", "rule"),
    [
        pytest.param(accept_repeated_messages, "late_copies", "START_ONCE", id="dedup off"),
        pytest.param(
            forget_refusals, "deadline_before_any_start", "NOT_RUN_TRUE", id="tombstone off"
        ),
        pytest.param(
            place_lost_tasks_again,
            "target_crash_is_unknown",
            "START_ONCE",
            id="retry after unknown",
        ),
        pytest.param(
            raise_share_too_early,
            "paused_target_loses_share_to_newcomer",
            "WITHIN_LIMITS",
            id="share raised too early",
        ),
        pytest.param(adopt_any_revision, "store_went_back", "NO_REVERT", id="lower revision"),
        pytest.param(answer_partially, "light_load", "WHOLE_ANSWER", id="partial answer"),
        pytest.param(mix_up_results, "light_load", "OWN_ANSWER", id="answers mixed up"),
        pytest.param(
            start_while_leaving,
            "planned_stop_under_long_load",
            "LEAVING_QUIET",
            id="leaving ignored",
        ),
    ],
)
def test_planted_bug_is_caught(
    monkeypatch: pytest.MonkeyPatch, plant: Plant, name: str, rule: str
) -> None:
    file = Path(__file__).parent / f"{name}.toml"
    scenario.run(scenario.load(file))
    plant(monkeypatch)
    with pytest.raises(AssertionError, match=Rule[rule].value):
        scenario.run(scenario.load(file))
