"""Entry point of ``python -m burdockgap``."""

from __future__ import annotations

import sys

from burdockgap.run import main

if __name__ == "__main__":
    sys.exit(main())
