"""Messages that gates exchange."""
