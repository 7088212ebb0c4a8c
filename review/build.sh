#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are plain Python without dependencies,
# so this checks that the interpreter can compile and load them.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/harness.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=common python3 -c 'import harness'
