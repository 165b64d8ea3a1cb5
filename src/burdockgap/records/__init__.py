"""Records of the ``config`` and ``control`` streams of the log."""
