"""Ownership of ranges of keys."""
