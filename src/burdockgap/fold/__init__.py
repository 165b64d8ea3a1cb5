"""Deterministic folds of the log's streams into state."""
