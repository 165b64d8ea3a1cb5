"""Messages of the calls between daemons."""

from __future__ import annotations
