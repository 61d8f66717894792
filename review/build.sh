#!/usr/bin/env bash
# The stand-ins use the standard library of Python 3.11 or later only: nothing is built.
cd "$(dirname "$0")" || exit 1
python3 -B -c 'import sys; sys.exit(sys.version_info < (3, 11))'
