"""Aliases of private types of argparse."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    import argparse

    Subparsers: TypeAlias = argparse._SubParsersAction[argparse.ArgumentParser]
