#!/bin/sh
# Builds the stand-ins of the scripts: Python modules, which use the
# libraries that the build of the deploy file has placed in target/deps.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q standins review || exit 1
PYTHONPATH="target/deps:." python3 -c "import review.common.site"
