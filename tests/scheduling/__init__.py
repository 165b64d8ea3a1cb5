"""Tests of decisions under load."""
