"""Two coordinators act while regions lose each other."""
