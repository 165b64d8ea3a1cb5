"""Calls between daemons over one kept connection per pair."""
