"""Calls between daemons over one persistent connection per pair."""
