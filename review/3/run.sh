#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0: without the disruption.
# Writes what was sent, answered and run to record.txt beside it.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
