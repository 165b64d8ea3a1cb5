"""Collects the files of the archive."""

from __future__ import annotations

from importlib.metadata import Distribution, distribution
from pathlib import Path

from binary.bytecode import compile_modules

_INCLUDED_SUFFIXES = frozenset({".py", ".pem"})
_MAIN = b"""\
import sys

if sys.version_info < (3, 11):
    sys.exit("burdockgap: needs Python 3.11 or later")

from burdockgap.run import main

sys.exit(main())
"""


class BuildError(Exception):
    """An installed library does not have its pinned version."""


def read_contents(root: Path) -> dict[str, bytes]:
    """
    Return the bytes of each file of the archive by its name.

    :param root: the root of the repository.
    :raises BuildError: if a library is installed in another version
        than the pinned one.
    """
    found = {"__main__.py": _MAIN}
    for pin in _pins(root / "requirements" / "run.txt"):
        found.update(_read_library(pin))
    source = root / "src"
    for path in source.rglob("*.py"):
        found[path.relative_to(source).as_posix()] = path.read_bytes()
    return found | compile_modules(found)


def _pins(path: Path) -> list[str]:
    lines = (line.strip() for line in path.read_text().splitlines())
    return [line for line in lines if line and not line.startswith("#")]


def _read_library(pin: str) -> dict[str, bytes]:
    name, _, version = pin.partition("==")
    library = distribution(name)
    if library.version != version:
        raise BuildError(
            f"{name} {library.version} is installed in place of {version}; "
            "run `make env`"
        )
    return {
        name: Path(str(library.locate_file(name))).read_bytes()
        for name in _list_included_files(library)
    }


def _list_included_files(library: Distribution) -> list[str]:
    """List a library's files except binaries, scripts and metadata."""
    names = [str(path) for path in library.files or []]
    return [
        name
        for name in names
        if Path(name).suffix in _INCLUDED_SUFFIXES
        and not name.startswith("..")
        and ".dist-info/" not in name
    ]
