"""A reload signal during the imports must not end the process."""

import subprocess
import sys
from pathlib import Path

import pytest
from templates import filled

PROGRAM = """
import runpy, signal, sys

LIBRARY = sys.argv.pop(1)

class Signaller:
    '''Signals this process when the library is imported.'''

    def find_spec(self, name, path=None, target=None):
        if name == LIBRARY:
            sys.meta_path.remove(self)
            signal.raise_signal(signal.SIGHUP)

sys.meta_path.insert(0, Signaller())
sys.argv = ["paddleshunt_council", *sys.argv[1:]]
runpy.run_module("paddleshunt_council", run_name="__main__")
"""
ADAPTER = Path(__file__).parents[2] / "platform"


@pytest.mark.parametrize("role", ["entry", "target"])
@pytest.mark.parametrize("library", ["click", "msgspec"])
def test_signal_during_imports_does_not_end_the_process(
    role: str, library: str, tmp_path: Path
) -> None:
    file = tmp_path / "local.toml"
    file.write_text(filled(role))
    command = [sys.executable, "-c", PROGRAM, library, role, "--check", "--settings", str(file)]
    variables = {"PYTHONPATH": str(ADAPTER), "PATH": ""}
    result = subprocess.run(command, env=variables, capture_output=True, text=True, timeout=60)
    assert (result.returncode, result.stdout) == (0, f"{file}: ok\n"), result.stderr
