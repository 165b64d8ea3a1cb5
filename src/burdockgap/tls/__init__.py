"""Certificates for connections over TLS."""
