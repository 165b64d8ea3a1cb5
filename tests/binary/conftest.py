from __future__ import annotations

import sys
from pathlib import Path

import pytest

from binary.archive import write_archive
from binary.contents import read_contents
from standins.cluster import Launch

ROOT = Path(__file__).parents[2]
MISSING_PATH = "/nonexistent"


@pytest.fixture(scope="session")
def binary(tmp_path_factory):
    path = tmp_path_factory.mktemp("binary") / "burdockgap"
    write_archive(path, read_contents(ROOT))
    return path


@pytest.fixture(scope="session")
def plain_python():
    """Return a Python command without installed packages."""
    return [str(Path(sys.base_prefix) / "bin" / "python3"), "-I", "-S"]


@pytest.fixture
def bare(binary, plain_python):
    """Return a launch of the audited binary that can write nothing."""
    audited = Path(__file__).with_name("audited.py")
    return Launch(
        command=[*plain_python, str(audited), str(binary)],
        env={
            "HOME": MISSING_PATH,
            "TMPDIR": MISSING_PATH,
            "PATH": MISSING_PATH,
        },
        cwd=Path("/proc"),
    )
