"""Builds ``dist/burdockgap``, or the file that is named."""

from __future__ import annotations

import sys
from pathlib import Path

from binary.archive import write_archive
from binary.contents import read_contents

ROOT = Path(__file__).resolve().parents[1]
_DEFAULT = ROOT / "dist" / "burdockgap"


def main(argv: list[str]) -> int:
    """
    Build the file.

    :param argv: the path of the file, if another than the usual one.
    :return: the exit code.
    """
    path = Path(argv[0]) if argv else _DEFAULT
    path.parent.mkdir(parents=True, exist_ok=True)
    write_archive(path, read_contents(ROOT))
    print(f"{path}: {path.stat().st_size / 1024:.0f} KB")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
