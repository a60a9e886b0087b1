#!/usr/bin/env bash
# The stand-ins of these scripts are Python modules without dependencies.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins.py crashing.py ./*/script.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
