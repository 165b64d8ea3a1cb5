"""Kinds of calls between daemons, as numbered on the wire."""

from __future__ import annotations

FORWARD = 1
"""Run a request on the called daemon's local target."""
GET_CONTROL_STATE = 2
"""Return the encoded control state."""
RELEASE = 3
"""Release a range of keys from the called daemon's local target."""
GET_DOCUMENTS = 4
"""Return the operators' documents and the store offset they reach."""
GET_OUTCOME = 5
"""Return the outcome of a FORWARD call whose connection was lost."""
