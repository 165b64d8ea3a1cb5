"""Messages about holding units."""
