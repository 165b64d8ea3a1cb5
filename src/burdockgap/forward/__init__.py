"""Forwarding of requests from the caller's daemon to a target."""
