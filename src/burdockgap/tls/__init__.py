"""Verification of servers that are reached over TLS."""
