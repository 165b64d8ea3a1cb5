"""Stand-ins for the platform's log, targets, callers and a site."""
