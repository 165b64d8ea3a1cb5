"""A late second answer to a rejected request."""
