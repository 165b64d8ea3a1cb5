from __future__ import annotations

import sys
from pathlib import Path

import pytest

from binary.archive import write_archive
from binary.contents import read_contents
from standins.cluster import Launch

ROOT = Path(__file__).parents[2]
NOWHERE = "/nonexistent"


@pytest.fixture(scope="session")
def binary(tmp_path_factory):
    path = tmp_path_factory.mktemp("binary") / "burdockgap"
    write_archive(path, read_contents(ROOT))
    return path


@pytest.fixture(scope="session")
def plain_python():
    """Command of an interpreter that sees no installed package."""
    return [str(Path(sys.base_prefix) / "bin" / "python3"), "-I", "-S"]


@pytest.fixture
def bare(binary, plain_python):
    """How the binary is started on a machine with nothing to write."""
    audited = Path(__file__).with_name("audited.py")
    return Launch(
        command=[*plain_python, str(audited), str(binary)],
        env={"HOME": NOWHERE, "TMPDIR": NOWHERE, "PATH": NOWHERE},
        cwd=Path("/proc"),
    )
