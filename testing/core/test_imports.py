"""The core must do no input or output, read no clock and draw from no unseeded randomness."""

import ast
from pathlib import Path

import paddleshunt_core
import pytest

ALLOWED = {
    "base64",
    "binascii",
    "collections",
    "dataclasses",
    "enum",
    "heapq",
    "msgspec",
    "paddleshunt_core",
    "random",
    "typing",
    "xxhash",
}
FILES = sorted(Path(paddleshunt_core.__file__).parent.glob("**/*.py"))


def imported(tree: ast.AST) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            found.add((node.module or "").split(".")[0])
    return found


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_imports_are_free_of_input_and_output(file: Path) -> None:
    assert imported(ast.parse(file.read_text())) <= ALLOWED


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_random_generators_are_passed_in(file: Path) -> None:
    tree = ast.parse(file.read_text())
    names = {
        alias.name
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom) and node.module == "random"
        for alias in node.names
    }
    assert names <= {"Random"}
    calls = [n.func for n in ast.walk(tree) if isinstance(n, ast.Call)]
    assert not [f for f in calls if isinstance(f, ast.Name) and f.id in {"Random", "open"}]


def test_imported_modules_include_clocks() -> None:
    assert imported(ast.parse("from time import monotonic\nimport os.path")) == {"time", "os"}
