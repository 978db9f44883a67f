#!/usr/bin/env bash
# Prepare the stand-ins of review 3: they use Python's standard library only, so that nothing
# is fetched; a syntax error shows here, and not in the middle of a case.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
for file in standins3/bench3.py 9/case.py 10/case.py 11/case.py 12/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
