"""Messages that a snapshot of the folds consists of."""
