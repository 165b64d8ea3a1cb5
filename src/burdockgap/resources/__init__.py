"""Limits on the memory and descriptors that a process uses."""
