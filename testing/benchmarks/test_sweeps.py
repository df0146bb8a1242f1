"""Reading what a sweep of the users' bench printed."""

import pytest
from sweeps import Row, SweepError, add, read_sweep, tables

PRINTED = """\
middle / busiest or longest, by own machines
                                       30             100             300  power  at 8602
entry: processor %            11.4 / 14.2     13.1 / 16.2     13.4 / 19.5   0.14  30.8
target: kB a second            8.3 / 10.4       4.2 / 4.9       6.0 / 6.9  -0.18  6.9
config acked, ms              48.0 / 49.0     57.0 / 57.0       137 / 137   0.43  585
"""


def test_a_roles_figures_are_read_by_size() -> None:
    first, second = read_sweep(PRINTED)
    assert first == Row(
        "entry", "processor %", [30, 100, 300], [11.4, 13.1, 13.4], [14.2, 16.2, 19.5]
    )
    assert (second.role, second.what) == ("target", "kB a second")


@pytest.mark.parametrize(
    ("text", "why"),
    [("nothing", "numbers of machines"), (PRINTED.replace("13.1 / 16.2", ""), "2 figures for 3")],
    ids=["no_sizes", "a_size_is_missing"],
)
def test_what_is_no_whole_sweep_is_refused(text: str, why: str) -> None:
    with pytest.raises(SweepError, match=why):
        read_sweep(text)


def test_a_figure_is_carried_on_by_the_power_of_its_growth() -> None:
    row = Row("entry", "kB a second", [30, 100, 300], [1.0, 1.0, 1.0], [10.0, 33.3333, 100.0])
    assert row.carried_on() == pytest.approx((572.0, 572.0), rel=1e-3)
    falls = Row("target", "kB a second", [30, 100, 300], [1.0, 1.0, 1.0], [9.0, 8.0, 7.0])
    assert falls.carried_on() == (7.0, 7.0)


def test_a_sweep_played_again_replaces_the_earlier_one() -> None:
    record: dict[str, list[dict[str, object]]] = {"sweeps": []}
    for _ in range(2):
        add(record, "site", "abc", read_sweep(PRINTED))
    add(record, "site", "def", read_sweep(PRINTED))
    assert [sweep["code"] for sweep in record["sweeps"]] == ["abc", "def"]
    assert tables(record).count("| entry | processor % |") == 2
