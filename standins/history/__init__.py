"""Checks of what targets ran against what callers were told."""
