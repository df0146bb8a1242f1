"""Pytest plugin: the tests that are known to fail, listed in KNOWN-RED.txt at the root.

A listed test may fail, and its failure is printed at the end. Any other failure, a listed test that
passes or was not run in a whole run, and a list that breaks its own rules all make the run red.

A line of the list: the test's id, its cause, its issue, parted by ` | `; `#` begins a comment.
"""

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"

MOST_LISTED = 3
"""Tests that may be listed at once; the project's rule."""

_FIELDS = 3
"""Fields of a line: test, cause, issue."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One line of the list."""

    test: str
    cause: str
    issue: str


class KnownRedError(ValueError):
    """The list can't be used."""


def read_known(file: Path) -> dict[str, KnownFailure]:
    """Return the listed tests by id, none if there is no file; raises `KnownRedError`."""
    if not file.exists():
        return {}
    known: dict[str, KnownFailure] = {}
    for number, raw in enumerate(file.read_text().splitlines(), start=1):
        line = raw.strip()
        if not line or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != _FIELDS or not all(fields):
            raise KnownRedError(f"{FILE}:{number}: expected 'test | cause | issue'")
        if fields[0] in known:
            raise KnownRedError(f"{FILE}:{number}: {fields[0]} is listed twice")
        known[fields[0]] = KnownFailure(*fields)
    if len(known) > MOST_LISTED:
        raise KnownRedError(f"{FILE}: lists {len(known)} tests, at most {MOST_LISTED} may be")
    return known


class KnownRed:
    """Lets the listed tests fail, and nothing else."""

    def __init__(self, known: dict[str, KnownFailure], *, whole: bool) -> None:
        self._known = known
        self._whole = whole
        """Whether all tests are run, so that each listed one must be among them."""
        self._collected: set[str] = set()
        self._failed: set[str] = set()

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Expect the failure of each listed test; one that passes is a failure then."""
        for item in items:
            failure = self._known.get(item.nodeid)
            if failure is not None:
                self._collected.add(item.nodeid)
                reason = f"{failure.cause} ({failure.issue})"
                item.add_marker(pytest.mark.xfail(reason=reason, strict=True, run=True))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Note a listed test, also one that ran at another worker, and its failure."""
        if report.nodeid in self._known:
            self._collected.add(report.nodeid)
        if report.skipped and hasattr(report, "wasxfail") and report.nodeid in self._known:
            self._failed.add(report.nodeid)

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail the run if a listed test is none of the project's any more, or did not fail.

        A worker runs a part of the tests; the run that started it judges them together.
        """
        if hasattr(session.config, "workerinput"):
            return
        if self._unproved() and session.exitstatus in (
            pytest.ExitCode.OK,
            pytest.ExitCode.NO_TESTS_COLLECTED,
        ):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print what is known to fail."""
        write = terminalreporter.write_line
        for test in sorted(self._failed):
            failure = self._known[test]
            write(f"KNOWN RED {test}: {failure.cause} ({failure.issue})")
        for test in sorted(self._unproved()):
            write(f"KNOWN RED {test}: is listed, but did not fail in this run", red=True)

    def _unproved(self) -> set[str]:
        expected = set(self._known) if self._whole else self._collected
        return expected - self._failed


def pytest_configure(config: pytest.Config) -> None:
    """Read the list."""
    try:
        known = read_known(config.rootpath / FILE)
    except KnownRedError as problem:
        raise pytest.UsageError(str(problem)) from problem
    option = config.option
    narrowed = option.keyword or option.markexpr or option.collectonly or option.deselect
    named = [Path(arg) for arg in config.args if Path(arg) != Path("testing")]
    testpaths = [config.rootpath / path for path in config.getini("testpaths")]
    whole = not narrowed and all(path.absolute() in testpaths for path in named)
    config.pluginmanager.register(KnownRed(known, whole=whole), "known-red")
