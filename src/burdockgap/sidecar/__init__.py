"""The daemon beside a server of the users' platform."""
