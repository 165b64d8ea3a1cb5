"""Names of the streams and the record types that each carries."""

from __future__ import annotations

from burdockgap.records.activated import Activated
from burdockgap.records.admit import Admit
from burdockgap.records.assign import Assign
from burdockgap.records.claim import Claim
from burdockgap.records.config_change import ConfigChange
from burdockgap.records.ended import Ended
from burdockgap.records.layout import Layout
from burdockgap.records.pin import Pin
from burdockgap.records.snapshot_chunk import SnapshotChunk
from burdockgap.records.unpin import Unpin

CONFIG = "config"
CONTROL = "control"

ControlRecord = (
    Claim
    | Admit
    | Ended
    | Layout
    | Assign
    | Activated
    | Pin
    | Unpin
    | SnapshotChunk
)
ConfigRecord = ConfigChange | SnapshotChunk

CONTROL_KINDS = (
    Claim,
    Admit,
    Ended,
    Layout,
    Assign,
    Activated,
    Pin,
    Unpin,
    SnapshotChunk,
)
CONFIG_KINDS = (ConfigChange, SnapshotChunk)
