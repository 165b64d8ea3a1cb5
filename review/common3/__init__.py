"""Stand-ins and helpers that the scripts of cases 11 to 15 share."""
