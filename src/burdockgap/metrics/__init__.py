"""Counters, gauges and histograms of a daemon."""

from __future__ import annotations

from burdockgap.metrics.declared import Metrics

__all__ = ["Metrics"]
