"""Finding the target of a request and trying until there is a verdict."""
