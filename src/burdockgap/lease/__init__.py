"""Leases of sessions: holders, witnesses and proofs of expiry."""
