"""Sole ownership of units through sessions."""
