from collections import Counter
from random import Random

import pytest
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.members import Member, Members
from paddleshunt_core.messages import Heartbeat, Load
from paddleshunt_core.routing import NoHome, Router
from paddleshunt_core.table import Row

ROWS = [Row("results", "hall", 3, 8, 8), Row("results", "depot", 1, 8, 8)]


def add(members: Members, name: str, site: str, load: Load, *, leaving: bool = False) -> None:
    beat = Heartbeat(f"{name}:1", site, site, "results", leaving, False, 0, load, 1, 1)
    members.record_heartbeat(10.0, Incarnation(name, "1"), beat, 0.0)


@pytest.fixture
def members() -> Members:
    members = Members(1.0)
    for site in ("hall", "depot"):
        for number in range(3):
            add(members, f"{site}-{number}", site, Load(slots=4))
    return members


def homes(router: Router, members: Members, count: int) -> Counter[str]:
    found: Counter[str] = Counter()
    for _ in range(count):
        home = router.choose_home(10.0, "results", ROWS, members)
        assert isinstance(home, Member)
        found[home.site] += 1
    return found


def test_sites_share_by_weight(members: Members, rng: Random) -> None:
    assert homes(Router(rng), members, 400) == {"hall": 300, "depot": 100}


def test_full_site_is_skipped(members: Members, rng: Random) -> None:
    for number in range(3):
        add(members, f"hall-{number}", "hall", Load(slots=4, running=4))
        members.record_heartbeat(
            10.5,
            Incarnation(f"hall-{number}", "1"),
            Heartbeat("", "hall", "hall", "results", False, False, 0, Load(4, 4), 1, 1),
            0.0,
        )
    assert homes(Router(rng), members, 50) == {"depot": 50}


def test_site_of_weight_zero_is_never_chosen(members: Members, rng: Random) -> None:
    rows = [Row("results", "hall", 0, 8, 8)]
    found = Router(rng).choose_home(10.0, "results", rows, members)
    assert isinstance(found, NoHome)


def test_silent_targets_are_not_chosen(members: Members, rng: Random) -> None:
    found = Router(rng).choose_home(20.0, "results", ROWS, members)
    assert isinstance(found, NoHome)


def test_home_with_fewer_jobs_is_preferred(rng: Random) -> None:
    members = Members(1.0)
    add(members, "busy", "hall", Load(slots=4, jobs=5))
    add(members, "idle", "hall", Load(slots=4))
    found = Router(rng).choose_home(10.0, "results", ROWS, members)
    assert isinstance(found, Member)
    assert found.incarnation.host == "idle"
