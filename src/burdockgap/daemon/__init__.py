"""The daemon: its parts, put together."""
