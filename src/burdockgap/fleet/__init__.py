"""The daemons that run, as each of them knows."""
