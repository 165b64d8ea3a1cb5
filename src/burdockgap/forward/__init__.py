"""The way of a request from its caller's daemon to a target."""
