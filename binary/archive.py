"""Writes the executable archive."""

from __future__ import annotations

import os
import zipfile
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

_SHEBANG = b"#!/usr/bin/env python3\n"
_EARLIEST_ZIP_DATE = (1980, 1, 1, 0, 0, 0)
_FILE_MODE = 0o100644
_EXECUTABLE_MODE = 0o755


def write_archive(path: Path, contents: dict[str, bytes]) -> None:
    """
    Write an executable archive; equal contents give equal bytes.

    :param path: the archive, replaced atomically.
    :param contents: the bytes of each file by its name.
    """
    partial = path.with_name(f"{path.name}.partial")
    with partial.open("wb") as file:
        file.write(_SHEBANG)
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as archive:
            for name in sorted(contents):
                archive.writestr(_entry(name), contents[name])
    partial.chmod(_EXECUTABLE_MODE)
    os.replace(partial, path)


def _entry(name: str) -> zipfile.ZipInfo:
    entry = zipfile.ZipInfo(name, _EARLIEST_ZIP_DATE)
    entry.compress_type = zipfile.ZIP_DEFLATED
    entry.external_attr = _FILE_MODE << 16
    return entry
