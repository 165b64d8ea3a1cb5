"""An independent review: cases that break a rule of the users."""
