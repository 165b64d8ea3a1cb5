"""Measurement of the load of units and keys."""
