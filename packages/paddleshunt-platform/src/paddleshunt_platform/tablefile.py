"""CSV format of the operators' table, which opens in a spreadsheet.

An optional first line gives the revision that the file was made from: `# revision 7`. Next come the
header `service,site,weight,max_running,max_in_flight` and one row for each service and site.
"""

import csv
import io
import re
from dataclasses import dataclass
from typing import final

from paddleshunt_core.table import MAX_LIMIT, Row, TableDocument

COLUMNS = ("service", "site", "weight", "max_running", "max_in_flight")

MAX_TABLE_BYTES = 1_000_000
"""Largest file that is accepted; the store holds values up to a megabyte."""

_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
_REVISION = re.compile(r"^#\s*revision\s+(\d+)\s*,*\s*$")


@final
@dataclass(frozen=True)
class TableError(Exception):
    """A table file is invalid: the line, the column and what was expected."""

    line: int
    column: str
    expected: str

    def __str__(self) -> str:
        location = f"line {self.line}, column {self.column}" if self.column else f"line {self.line}"
        return f"{location}: {self.expected}"


@final
@dataclass(frozen=True, slots=True)
class TableFile:
    """Rows of a file, and the revision that it was made from; None if the file has none."""

    rows: list[Row]
    base: int | None


def parse_table(text: str) -> TableFile:
    """Return the table in `text`; raises `TableError`."""
    if len(text.encode()) > MAX_TABLE_BYTES:
        raise TableError(1, "", f"expected at most {MAX_TABLE_BYTES} bytes")
    lines = text.lstrip("\ufeff").splitlines()
    base = _parse_base(lines)
    skipped = 0 if base is None else 1
    reader = csv.reader(lines[skipped:])
    rows: list[Row] = []
    seen: dict[tuple[str, str], int] = {}
    try:
        _check_header(next(reader, []), skipped + 1)
        for cells in reader:
            line = reader.line_num + skipped
            if any(cell.strip() for cell in cells):
                row = _parse_row(cells, line)
                _check_duplicate(row, line, seen)
                rows.append(row)
    except csv.Error as error:
        raise TableError(reader.line_num + skipped, "", f"expected CSV: {error}") from error
    if not rows:
        raise TableError(len(lines) + 1, "", "expected at least one row")
    return TableFile(rows, base)


def format_table(document: TableDocument) -> str:
    """Return the table as CSV, with its revision in the first line."""
    buffer = io.StringIO()
    buffer.write(f"# revision {document.revision}\n")
    writer = csv.writer(buffer, lineterminator="\n")
    writer.writerow(COLUMNS)
    for row in document.rows:
        writer.writerow([row.service, row.site, row.weight, row.max_running, row.max_in_flight])
    return buffer.getvalue()


def _parse_base(lines: list[str]) -> int | None:
    found = _REVISION.match(lines[0].strip().strip('"')) if lines else None
    return int(found[1]) if found else None


def _check_header(cells: list[str], line: int) -> None:
    names = [cell.strip() for cell in cells]
    for name in names:
        if name not in COLUMNS:
            raise TableError(line, name or "(empty)", f"unknown column; expected {_column_list()}")
    if tuple(names) != COLUMNS:
        raise TableError(line, "", f"expected the columns {_column_list()}")


def _column_list() -> str:
    return ",".join(COLUMNS)


def _parse_row(cells: list[str], line: int) -> Row:
    if len(cells) != len(COLUMNS):
        raise TableError(line, "", f"expected {len(COLUMNS)} cells, found {len(cells)}")
    cell_of = dict(zip(COLUMNS, (cell.strip() for cell in cells), strict=True))
    numbers = [_parse_number(cell_of[column], line, column) for column in COLUMNS[2:]]
    return Row(
        _parse_name(cell_of["service"], line, "service"),
        _parse_name(cell_of["site"], line, "site"),
        *numbers,
    )


def _parse_name(text: str, line: int, column: str) -> str:
    if _NAME.match(text) is None:
        raise TableError(line, column, f"expected a name, found {text!r}")
    return text


def _parse_number(text: str, line: int, column: str) -> int:
    if not text.isascii() or not text.isdigit() or int(text) > MAX_LIMIT:
        raise TableError(line, column, f"expected a number from 0 to {MAX_LIMIT}, found {text!r}")
    return int(text)


def _check_duplicate(row: Row, line: int, seen: dict[tuple[str, str], int]) -> None:
    first_line = seen.setdefault((row.service, row.site), line)
    if first_line != line:
        raise TableError(
            line, "site", f"{row.service} at {row.site} has a row already, in line {first_line}"
        )
