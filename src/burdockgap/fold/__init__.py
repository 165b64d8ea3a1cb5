"""Deterministic application of the log's streams to state."""
