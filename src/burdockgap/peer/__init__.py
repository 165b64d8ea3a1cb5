"""Calls between daemons over gRPC."""
