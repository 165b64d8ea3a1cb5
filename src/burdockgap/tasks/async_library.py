"""A workaround for a slow import in the HTTP client library."""

from __future__ import annotations

import importlib.util
import sys
from typing import Any

_DETECTOR = "sniffio"


def disable_sniffio_import() -> None:
    """
    Make imports of ``sniffio`` fail at once if it is not installed.

    The HTTP client library imports this optional module for each lock
    that it creates. If the module is missing, every import searches the
    whole module search path.
    """
    if importlib.util.find_spec(_DETECTOR) is not None:
        return
    modules: dict[str, Any] = sys.modules
    modules[_DETECTOR] = None
