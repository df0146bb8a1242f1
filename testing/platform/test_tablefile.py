import pytest
from paddleshunt_core.table import EMPTY_TABLE, Row, revise
from paddleshunt_platform.tablefile import TableError, format_table, parse_table

HEADER = "service,site,weight,max_running,max_in_flight\n"
VALID_TABLE = HEADER + "results,hall,3,8,16\nresults,depot,1,8,16\n"


def test_format_and_parse_round_trip() -> None:
    document = revise(EMPTY_TABLE, parse_table(VALID_TABLE).rows, "edit")
    again = parse_table(format_table(document))
    assert again.base == 1
    assert again.rows == document.rows


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("# revision 7\n" + VALID_TABLE, id="as shown"),
        pytest.param(
            "# revision 7,,,,\r\n" + VALID_TABLE.replace("\n", "\r\n"), id="by a spreadsheet"
        ),
        pytest.param(
            "\ufeff# revision 7\n" + VALID_TABLE + ",,,,\n", id="with a mark and empty cells"
        ),
    ],
)
def test_files_saved_by_spreadsheets_are_parsed(text: str) -> None:
    table = parse_table(text)
    assert table.base == 7
    assert table.rows[0] == Row("results", "hall", 3, 8, 16)
    assert len(table.rows) == 2


@pytest.mark.parametrize(
    ("text", "message"),
    [
        pytest.param(
            VALID_TABLE + "results,hall,1,1,1\n", "line 4, column site: .* in line 2", id="twice"
        ),
        pytest.param(VALID_TABLE + "a,b,-1,1,1\n", "line 4, column weight: .*'-1'", id="negative"),
        pytest.param(VALID_TABLE + "a,b,1,,1\n", "line 4, column max_running: .*''", id="empty"),
        pytest.param(VALID_TABLE + "a,b,1,1,x\n", "line 4, column max_in_flight", id="word"),
        pytest.param(VALID_TABLE + "a,b,1,1,9999999\n", "line 4, column max_in_flight", id="huge"),
        pytest.param(
            VALID_TABLE + "a,b c,1,1,1\n", "line 4, column site: expected a name", id="name"
        ),
        pytest.param(VALID_TABLE + "a,b,1\n", "line 4: expected 5 cells, found 3", id="short"),
        pytest.param(HEADER.replace("site", "zone"), "line 1, column zone: unknown", id="column"),
        pytest.param(HEADER.replace(",site", ""), "line 1: expected the columns", id="no column"),
        pytest.param(HEADER, "expected at least one row", id="no rows"),
        pytest.param("", "expected the columns", id="nothing"),
        pytest.param(
            VALID_TABLE + "x" * 1_000_001, "line 1: expected at most", id="over a megabyte"
        ),
    ],
)
def test_invalid_table_error_has_line_and_column(text: str, message: str) -> None:
    with pytest.raises(TableError, match=message):
        parse_table(text)
