"""Scripted scenarios on a site of real processes."""
