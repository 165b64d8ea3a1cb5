"""Settles which asynchronous library runs the process."""

from __future__ import annotations

import importlib.util
import sys
from typing import Any

_DETECTOR = "sniffio"


def disable_sniffio_import() -> None:
    """
    Spare the HTTP library a search for a module that is not installed.

    It imports the optional module anew for each lock. If the module is
    missing, each import searches all of the path.
    """
    if importlib.util.find_spec(_DETECTOR) is not None:
        return
    modules: dict[str, Any] = sys.modules
    modules[_DETECTOR] = None
