"""Membership: each daemon's knowledge of the running daemons."""
