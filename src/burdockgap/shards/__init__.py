"""Ownership of key ranges: assignment, leases and grants."""
