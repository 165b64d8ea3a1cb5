"""Case 11: two servers hold keys after a late heartbeat."""
