from __future__ import annotations

import subprocess
import sys
import zipfile
from pathlib import Path

import pytest

from binary import contents
from binary.archive import write_archive
from binary.contents import BuildError, read_contents
from burdockgap import __version__

ROOT = Path(__file__).parents[2]
LIBRARIES_WITH_EXTENSIONS = ["msgpack", "multidict"]


def _run(*command: str):
    return subprocess.run(command, capture_output=True, text=True, timeout=30)


def test_builds_are_equal(binary, tmp_path):
    other = tmp_path / "other"
    subprocess.run(
        [sys.executable, "-m", "binary", str(other)],
        check=True,
        cwd=ROOT,
        env={"PYTHONHASHSEED": "5", "PYTHONPATH": "src:."},
        stdout=subprocess.DEVNULL,
    )
    assert other.read_bytes() == binary.read_bytes()


def test_other_interpreter_compiles_source(plain_python, tmp_path):
    path = tmp_path / "burdockgap"
    found = read_contents(ROOT)
    incompatible = {
        name: b"\0\0\r\n" + data[4:] if name.endswith(".pyc") else data
        for name, data in found.items()
    }
    write_archive(path, incompatible)
    assert _run(*plain_python, str(path), "--version").returncode == 0


def test_contents_have_no_compiled_library(binary):
    with zipfile.ZipFile(binary) as archive:
        names = archive.namelist()
    suffixes = {Path(name).suffix for name in names}
    assert suffixes == {".py", ".pyc", ".pem"}
    assert "burdockgap/run.py" in names


def test_other_version_is_refused(monkeypatch):
    monkeypatch.setattr(contents, "_pins", lambda _path: ["anyio==0.0.1"])
    with pytest.raises(BuildError, match="make env"):
        read_contents(ROOT)


def test_version_as_command(binary):
    done = _run(str(binary), "--version")
    assert (done.returncode, done.stdout) == (0, f"burdockgap {__version__}\n")


def test_check_reports_problems(binary, plain_python, tmp_path):
    settings = tmp_path / "settings.toml"
    settings.write_text("[daemon]\nname = 1\n")
    done = _run(*plain_python, str(binary), "check", str(settings))
    assert done.returncode == 2
    assert "daemon.name" in done.stderr


@pytest.mark.parametrize("name", LIBRARIES_WITH_EXTENSIONS)
def test_fallback_is_loaded(binary, plain_python, name):
    program = (
        f"import sys; sys.path.insert(0, {str(binary)!r}); import {name}; "
        f"import {name} as m; print(m.__file__); "
        "print([k for k, v in sys.modules.items() "
        "if '.so' in str(getattr(v, '__file__', '')) "
        f"and k.startswith({name!r})])"
    )
    done = _run(*plain_python, "-c", program)
    assert done.stdout.splitlines() == [
        f"{binary}/{name}/__init__.pyc",
        "[]",
    ]


def test_certificates_are_read_in_place(bare, binary, tmp_path):
    program = tmp_path / "program.py"
    program.write_text(
        f"import sys; sys.path.insert(0, {str(binary)!r})\n"
        "from burdockgap.tls.verification import verification\n"
        "print(len(verification('https://log.example').get_ca_certs()) > 9)\n"
    )
    done = subprocess.run(
        [*bare.command[:-1], str(program)],
        capture_output=True,
        text=True,
        env=bare.env,
        cwd=bare.cwd,
        timeout=30,
    )
    assert (done.stdout, done.stderr) == ("True\n", "")
