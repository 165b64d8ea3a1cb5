"""Runs the demo: ``python -m demo``."""

from __future__ import annotations

import sys

import anyio

from demo.run import run_demo

if __name__ == "__main__":
    sys.exit(anyio.run(run_demo))
