"""Composition of a daemon from its components."""
