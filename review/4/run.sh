#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
PYTHONDONTWRITEBYTECODE=1 timeout --preserve-status --kill-after=5 113 python3 case.py
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
