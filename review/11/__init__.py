"""Case 11: a new server gets keys with the token of the one before."""
