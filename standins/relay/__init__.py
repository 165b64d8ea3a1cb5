"""A relay between daemons that can lose and delay what they send."""

from __future__ import annotations

from standins.relay.links import Links
from standins.relay.relay import Relay
from standins.relay.route import Route

__all__ = ["Links", "Relay", "Route"]
