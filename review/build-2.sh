#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review: Python files of the
# standard library, so that compiling them shows that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common-2 6 7 8 9 10
