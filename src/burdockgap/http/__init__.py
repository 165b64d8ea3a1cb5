"""HTTP front end for callers; answers every request with a verdict."""
