"""Pairs of plays, and the tables and figures made of them."""

from pathlib import Path

import pytest
from rounds import RoundResult, read_rounds

from days import Figures, Play, compare, spread


def play(variant: str, day: str, seed: int) -> Play:
    return Play(variant, Path(), day, seed)


def earned(worth: float) -> Figures:
    return Figures(worth, {}, {}, 0, 0, 0, [])


def test_plays_of_one_day_and_seed_are_compared() -> None:
    figures = {
        play("a", "scale", 1): earned(0.80),
        play("b", "scale", 1): earned(0.83),
        play("a", "calm", 1): earned(0.90),
        play("b", "calm", 1): earned(0.91),
    }
    assert compare(figures, "a", "b") == "b - a: +0.0200 ± 0.0100 (2 pairs)"


def test_a_play_without_a_partner_is_left_out() -> None:
    figures = {play("a", "scale", 1): earned(0.8), play("b", "scale", 2): earned(0.9)}
    assert compare(figures, "a", "b") == "b - a: no pair"


@pytest.mark.parametrize("values", [[], [1.0]], ids=["none", "one"])
def test_too_few_values_have_no_spread(values: list[float]) -> None:
    assert spread(values) == 0.0


def test_rounds_are_read_in_order_with_whole_pairs_only(tmp_path: Path) -> None:
    table = tmp_path / "plays.csv"
    table.write_text(
        "round,variant,day,seed,worth\n"
        "second,before,d,1,0.5\nfirst,after,d,1,0.9\n"
        "second,after,d,1,0.75\nfirst,before,d,1,0.8\nfirst,before,d,2,0.7\n"
    )
    names = [(r.name, round(r.mean, 3)) for r in read_rounds(table)]
    assert names == [("second", 0.25), ("first", 0.1)]


def test_the_error_of_a_round_is_that_of_its_mean() -> None:
    assert RoundResult("r", (0.0, 0.2)).error == pytest.approx(0.1)
