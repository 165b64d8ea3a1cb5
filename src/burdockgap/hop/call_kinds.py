"""Numbers of the calls between daemons."""

from __future__ import annotations

FORWARD = 1
"""Run a request at the target beside the called daemon."""
GET_CONTROL_STATE = 2
"""Return the control state, encoded."""
RELEASE = 3
"""Release a range of keys from the called daemon's local target."""
GET_DOCUMENTS = 4
"""Return the operators' documents and the store offset they reach."""
GET_OUTCOME = 5
"""Return the outcome of a FORWARD call whose connection was lost."""
