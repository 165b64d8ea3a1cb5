"""Daemons with a seeded fault, to see checks fail."""
