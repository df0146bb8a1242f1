"""The list of tests that are known to fail: CI passes over these alone."""

from pathlib import Path

import pytest
from knownred import FILE, KnownFailure, KnownRedError, read_known

TESTS = """
def test_good():
    pass


def test_bad():
    assert False
"""
BAD = "testing/test_it.py::test_bad"


@pytest.fixture(params=["-p no:xdist", "-n 2"], ids=["alone", "two-workers"])
def project(pytester: pytest.Pytester, request: pytest.FixtureRequest) -> pytest.Pytester:
    """A project with one test that passes and one that fails, and the plugin."""
    addopts = f"-p knownred -p no:hypothesispytest {request.param}"
    pytester.makeini(f"[pytest]\ntestpaths = testing\naddopts = {addopts}\n")
    folder = pytester.mkdir("testing")
    (folder / "test_it.py").write_text(TESTS)
    return pytester


def listed(project: pytest.Pytester, *lines: str) -> pytest.RunResult:
    """Run the project's tests with a list."""
    (project.path / FILE).write_text("# known failures\n" + "".join(f"{line}\n" for line in lines))
    return project.runpytest_inprocess("testing")


def test_without_a_list_a_failure_is_red(project: pytest.Pytester) -> None:
    result = project.runpytest_inprocess("testing")
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_a_listed_failure_is_passed_over_and_printed(project: pytest.Pytester) -> None:
    result = listed(project, f"{BAD} | the cause | issue 23")
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines([f"KNOWN RED {BAD}: the cause (issue 23)"])


@pytest.mark.parametrize(
    "line",
    [
        pytest.param("testing/test_it.py::test_good | cause | issue 23", id="passes"),
        pytest.param("testing/test_it.py::test_gone | cause | issue 23", id="gone"),
    ],
)
def test_a_listed_test_that_does_not_fail_is_red(project: pytest.Pytester, line: str) -> None:
    (project.path / "testing" / "test_it.py").write_text("def test_good():\n    pass\n")
    assert listed(project, line).ret == pytest.ExitCode.TESTS_FAILED


def test_an_unlisted_failure_beside_a_listed_one_is_red(project: pytest.Pytester) -> None:
    (project.path / "testing" / "test_other.py").write_text("def test_new():\n    assert False\n")
    assert listed(project, f"{BAD} | cause | issue 23").ret == pytest.ExitCode.TESTS_FAILED


def test_a_run_of_other_tests_asks_nothing_of_listed_ones(project: pytest.Pytester) -> None:
    (project.path / "testing" / "test_other.py").write_text("def test_fine():\n    pass\n")
    (project.path / FILE).write_text(f"{BAD} | cause | issue 23\n")
    assert project.runpytest_inprocess("testing/test_other.py").ret == pytest.ExitCode.OK


def test_a_list_that_is_too_long_stops_the_run(project: pytest.Pytester) -> None:
    lines = [f"testing/test_it.py::test_{n} | cause | issue 1" for n in range(4)]
    assert listed(project, *lines).ret == pytest.ExitCode.USAGE_ERROR


def test_a_list_is_read(tmp_path: Path) -> None:
    file = tmp_path / FILE
    file.write_text(f"# a comment\n\n{BAD} | the cause | issue 23\n")
    assert read_known(file) == {BAD: KnownFailure(BAD, "the cause", "issue 23")}


@pytest.mark.parametrize(
    ("text", "message"),
    [
        pytest.param("a::b | cause\n", "expected 'test", id="no issue"),
        pytest.param("a::b |  | issue 1\n", "expected 'test", id="no cause"),
        pytest.param("a::b | c | 1\na::b | c | 1\n", "listed twice", id="twice"),
    ],
)
def test_a_broken_list_is_refused(tmp_path: Path, text: str, message: str) -> None:
    file = tmp_path / FILE
    file.write_text(text)
    with pytest.raises(KnownRedError, match=message):
        read_known(file)
