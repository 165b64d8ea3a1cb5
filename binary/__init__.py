"""Builds the program as one file: ``python -m binary``."""
