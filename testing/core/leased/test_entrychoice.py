"""Selection of the entries that a target holds sessions with."""

from collections import Counter

import pytest
from paddleshunt_core.leased.entrychoice import (
    MAX_SESSIONS,
    RESERVED_SESSIONS,
    SUSPECT_SECONDS,
    EntryChoice,
)
from paddleshunt_core.leased.wire import EntryAddress

ENTRIES = [EntryAddress(f"e{n}", f"10.0.0.{n}:7720") for n in range(11)]


def names(
    choice: EntryChoice, now: float = 1.0, connected: frozenset[str] = frozenset()
) -> list[str]:
    return [entry.name for entry in choice.wanted(now, set(connected))]


def choice_of(target: str) -> EntryChoice:
    choice = EntryChoice(target)
    choice.replace_known("e0", ENTRIES)
    return choice


def test_no_entries_are_known_at_first() -> None:
    choice = EntryChoice("t1")
    assert not choice.has_entries()
    assert names(choice) == []


def test_all_entries_are_selected_if_they_are_few() -> None:
    choice = EntryChoice("t1")
    choice.replace_known("e0", ENTRIES[:3])
    assert sorted(names(choice)) == ["e0", "e1", "e2"]


def test_the_selection_does_not_depend_on_the_order_of_the_reported_entries() -> None:
    choice = EntryChoice("t1")
    choice.replace_known("e0", ENTRIES[::-1])
    assert names(choice) == names(choice_of("t1"))
    assert len(names(choice)) == MAX_SESSIONS


def test_targets_are_spread_evenly_over_all_entries() -> None:
    shares = Counter(name for n in range(66) for name in names(choice_of(f"side-{n}")))
    mean = 66 * MAX_SESSIONS / len(ENTRIES)
    assert len(shares) == len(ENTRIES)
    assert mean / 2 < min(shares.values()) <= max(shares.values()) < mean * 2


def test_an_entry_that_ends_moves_only_its_own_sessions() -> None:
    choice = choice_of("t1")
    before = names(choice)
    choice.replace_known("e0", [entry for entry in ENTRIES if entry.name != before[1]])
    after = names(choice)
    assert after[:-1] == [before[0], *before[2:]]
    assert len(after) == MAX_SESSIONS


def test_a_suspected_entry_is_skipped_until_the_suspicion_expires() -> None:
    choice = choice_of("t1")
    first = names(choice)[0]
    choice.suspect(1.0, first)
    assert first not in names(choice, 1.1)
    assert names(choice, 1.0 + SUSPECT_SECONDS)[0] == first


def test_a_suspected_entry_that_is_connected_again_is_not_skipped() -> None:
    choice = choice_of("t1")
    first = names(choice)[0]
    choice.suspect(1.0, first)
    assert first in names(choice, 1.1, frozenset({"e0", first}))


def test_reports_of_entries_that_are_not_connected_are_ignored() -> None:
    choice = choice_of("t1")
    choice.replace_known("e1", ENTRIES[1:3])
    assert sorted(names(choice, connected=frozenset({"e1"}))) == ["e1", "e2"]


def test_a_suspected_entry_that_has_restarted_is_selected_at_once() -> None:
    choice = EntryChoice("t1")
    choice.replace_known("e0", [EntryAddress("e1", "10.0.0.1:7720", "first")])
    choice.suspect(1.0, "e1")
    choice.replace_known("e0", [EntryAddress("e1", "10.0.0.1:7720", "first")])
    assert names(choice, 1.1) == []
    choice.replace_known("e0", [EntryAddress("e1", "10.0.0.1:7720", "second")])
    assert names(choice, 1.1) == ["e1"]


def test_a_late_report_of_an_ended_incarnation_clears_no_suspicion() -> None:
    choice = EntryChoice("t1")
    choice.replace_known("e0", [EntryAddress("e1", "10.0.0.1:7720", "first")])
    choice.replace_known("e2", [EntryAddress("e1", "10.0.0.1:7720", "second")])
    choice.suspect(1.0, "e1")
    choice.replace_known("e0", [EntryAddress("e1", "10.0.0.1:7720", "first")])
    assert names(choice, 1.1) == []


def test_changes_apply_to_the_entries_reported_by_the_same_source() -> None:
    choice = EntryChoice("t1")
    choice.replace_known("e0", ENTRIES[:3])
    choice.update_known("e0", [ENTRIES[3]], ["e1"])
    assert sorted(names(choice)) == ["e0", "e2", "e3"]
    choice.update_known("e2", [ENTRIES[1]], [])
    assert sorted(names(choice, connected=frozenset({"e0"}))) == ["e0", "e2", "e3"]


def test_of_too_many_open_sessions_those_of_the_highest_rank_are_kept() -> None:
    choice = choice_of("t1")
    wanted = names(choice)
    others = {entry.name for entry in ENTRIES} - set(wanted)
    assert choice.sessions_to_keep({*wanted, *others}) == set(wanted)
    assert choice.sessions_to_keep(others) == others


def in_halls(target: str, hall: str, entries: dict[str, int]) -> EntryChoice:
    """Return the choice of a target in `hall` that knows the given number of entries per hall."""
    choice = EntryChoice(target, hall)
    addresses = [
        EntryAddress(f"{place}-{n}", f"10.0.{index}.{n}:7720", "life", place)
        for index, (place, count) in enumerate(entries.items())
        for n in range(count)
    ]
    choice.replace_known("e0", addresses)
    return choice


def test_entries_in_the_targets_own_hall_are_preferred() -> None:
    choice = in_halls("t1", "a", {"a": 20, "b": 20})
    halls = [entry.hall for entry in choice.wanted(1.0, set())]
    assert halls == ["a"] * (MAX_SESSIONS - RESERVED_SESSIONS) + ["b"] * RESERVED_SESSIONS


def test_an_entry_whose_hall_has_no_targets_has_sessions_with_other_halls() -> None:
    shares = Counter(
        name
        for n in range(60)
        for name in names(in_halls(f"t{n}", "a", {"a": MAX_SESSIONS + 4, "b": 3}))
        if name.startswith("b")
    )
    assert len(shares) == 3
    assert sum(shares.values()) == 60 * RESERVED_SESSIONS


@pytest.mark.parametrize(
    ("entries", "expected"),
    [
        ({"a": 2, "b": 20}, {"a": 2, "b": MAX_SESSIONS - 2}),
        ({"a": 20, "b": 1}, {"a": MAX_SESSIONS - 1, "b": 1}),
        ({"b": 20}, {"b": MAX_SESSIONS}),
        ({"a": 20}, {"a": MAX_SESSIONS}),
    ],
    ids=["few_near", "few_far", "none_near", "none_far"],
)
def test_all_sessions_are_used_however_the_entries_are_spread_over_halls(
    entries: dict[str, int], expected: dict[str, int]
) -> None:
    wanted = in_halls("t1", "a", entries).wanted(1.0, set())
    assert Counter(entry.hall for entry in wanted) == expected


def test_of_too_many_open_sessions_those_in_the_targets_own_hall_are_kept_first() -> None:
    choice = in_halls("t1", "a", {"a": 20, "b": 20})
    wanted = set(names(choice))
    every = {f"{hall}-{n}" for hall in "ab" for n in range(20)}
    assert choice.sessions_to_keep(every) == wanted
