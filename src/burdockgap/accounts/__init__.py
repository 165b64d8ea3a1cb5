"""Client accounts: whose a request is, and what it may send."""
