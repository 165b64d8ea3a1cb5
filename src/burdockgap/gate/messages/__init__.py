"""Messages that the gates of a service exchange."""
