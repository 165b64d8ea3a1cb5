"""Two coordinators act while a machine is cut off."""
