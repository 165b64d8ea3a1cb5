"""Messages about the ownership of units."""
