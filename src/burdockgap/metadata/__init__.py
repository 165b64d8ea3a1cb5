"""What the daemons need of a store that lasts."""
