"""Finding a request's target and trying until there is a verdict."""
