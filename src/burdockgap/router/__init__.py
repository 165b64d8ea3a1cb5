"""Selection of a server for each request, with retries and hedges."""
