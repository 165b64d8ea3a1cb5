"""Builds ``dist/burdockgap`` or the file given as argument."""

from __future__ import annotations

import sys
from pathlib import Path

from binary.archive import write_archive
from binary.contents import read_contents

ROOT = Path(__file__).resolve().parents[1]
_DEFAULT_PATH = ROOT / "dist" / "burdockgap"


def main(argv: list[str]) -> int:
    """
    Build the archive and print its size.

    :param argv: the path of the archive, or nothing for the default.
    :return: the exit code.
    """
    path = Path(argv[0]) if argv else _DEFAULT_PATH
    path.parent.mkdir(parents=True, exist_ok=True)
    write_archive(path, read_contents(ROOT))
    print(f"{path}: {path.stat().st_size / 1024:.0f} KB")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
