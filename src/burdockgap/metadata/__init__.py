"""Interface of the durable store that the daemons need."""
