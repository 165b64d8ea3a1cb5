"""Numbers of the calls between daemons."""

from __future__ import annotations

FORWARD = 1
"""Run a request at the target beside the called daemon."""
TABLE = 2
"""Return the control state, encoded."""
RELEASE = 3
"""Take keys back from the target beside the called daemon."""
DOCUMENTS = 4
"""Return the operator's documents with their offset."""
GET_OUTCOME = 5
"""Return what became of a call whose connection was lost."""
