"""Builders of members and reports."""

from __future__ import annotations

from burdockgap.fleet.member import Member
from burdockgap.forward.load import Load
from burdockgap.shards.reports import Report

SERVICE = "records"


def make_member(name, **fields):
    """Return a member with defaults for fields that are not given."""
    defaults = {
        "name": name,
        "incarnation": sum(name.encode()),
        "address": ("127.0.0.1", 1),
        "data_centre": "dc1",
        "region": "r1",
        "service": SERVICE,
        "born": 1,
        "takes_work": True,
    }
    return Member(**{**defaults, **fields})


def make_report(name, **fields):
    """Return a report with defaults for fields that are not given."""
    defaults = {
        "name": name,
        "incarnation": sum(name.encode()),
        "term": 1,
        "revision": 1,
        "sent_at": 0.0,
        "echo": 0.0,
        "born": 1,
        "takes_work": True,
        "pending": [],
        "unusable": [],
        "seen": 0,
        "keys": [],
        "load": Load(slots=6),
    }
    return Report(**{**defaults, **fields})
