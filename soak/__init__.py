"""Random faults on real daemons, with their promises checked."""
