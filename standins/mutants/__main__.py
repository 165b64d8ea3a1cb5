"""``python -m standins.mutants NAME daemon ...`` runs a mutant."""

from __future__ import annotations

import sys

from burdockgap.run import main
from standins.mutants.faults import FAULTS

if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    sys.exit(main(sys.argv[2:]))
