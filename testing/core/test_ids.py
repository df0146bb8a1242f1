from random import Random

import pytest
from paddleshunt_core.ids import Incarnation, InvalidId, SubmissionId, boot_stamp, mint, parse_id

HOME = Incarnation("hall-1", "0001")


def test_minted_id_contains_home_and_time(rng: Random) -> None:
    parsed = parse_id(mint(HOME, 1234, rng))
    assert isinstance(parsed, SubmissionId)
    assert (parsed.home, parsed.minted_ms) == (HOME, 1234)


def test_ids_differ(rng: Random) -> None:
    assert len({mint(HOME, 1234, rng) for _ in range(1000)}) == 1000


@pytest.mark.parametrize(
    "corrupt",
    [
        pytest.param(lambda text: text[:-3], id="cut"),
        pytest.param(lambda text: "A" + text[1:], id="altered"),
        pytest.param(lambda text: "", id="empty"),
        pytest.param(lambda text: "tcp://10.0.0.1:99", id="address"),
        pytest.param(lambda text: text + "é", id="not ascii"),
        pytest.param(lambda text: text * 10, id="long"),
    ],
)
def test_corrupted_id_is_invalid(rng: Random, corrupt: object) -> None:
    assert callable(corrupt)
    assert isinstance(parse_id(corrupt(mint(HOME, 1234, rng))), InvalidId)


def test_later_boot_stamp_is_greater(rng: Random) -> None:
    stamps = [boot_stamp(ms, rng) for ms in (1, 1_700_000_000_000, 1_800_000_000_000)]
    assert stamps == sorted(stamps)
