"""Measurement of the traffic policy on small sites of processes."""
