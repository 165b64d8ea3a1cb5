"""Aliases of types that argparse keeps private."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    import argparse

    Subparsers: TypeAlias = argparse._SubParsersAction[argparse.ArgumentParser]
