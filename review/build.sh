#!/usr/bin/env bash
# Compiles the stand-ins of the cases; they need nothing but Python 3.11.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
