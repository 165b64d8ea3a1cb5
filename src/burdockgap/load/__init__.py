"""Measurement of the load per unit and per key."""
