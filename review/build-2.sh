#!/usr/bin/env bash
# Prepares what the scripts of review/6 to review/10 start beside the programs
# of the deploy file: the stand-ins are Python, so that only their syntax is
# checked here.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.py [0-9]*/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
