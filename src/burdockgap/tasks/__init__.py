"""Helpers for tasks."""
