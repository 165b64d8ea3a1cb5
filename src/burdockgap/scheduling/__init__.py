"""Decisions under load, without network or clock."""
