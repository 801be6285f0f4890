#!/usr/bin/env bash
# The stand-ins that the cases start are Python programs of this repository and need no build; this checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "common"); import deployment'
