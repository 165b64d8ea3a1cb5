"""Measurements of what the daemons cost, and slopes over their size."""
