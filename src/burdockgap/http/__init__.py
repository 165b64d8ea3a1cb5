"""The callers' side: HTTP in, verdicts out."""
