"""Two parts of a site never find each other again."""
