#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8: plain Python, only byte-compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins2
