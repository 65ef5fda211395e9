#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library and need no build; this only checks that
# they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"; compile(open("standins/standins.py").read(), "standins.py", "exec")'
