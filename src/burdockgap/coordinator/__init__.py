"""Decisions on sessions and assignments."""
