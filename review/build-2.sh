#!/bin/bash
# Checks the stand-ins of the second review, which need Python 3.11 and nothing else.
# The proxies themselves come from the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
python3 - bed.py [6-9]/case.py <<'CHECK'
import glob
import sys

assert sys.version_info >= (3, 11), sys.version
for pattern in sys.argv[1:]:
    for path in glob.glob(pattern):
        with open(path) as source:
            compile(source.read(), path, "exec")
        print("built", path)
CHECK
[ -d ../target/deps ] || { echo "target/deps is missing: run the build of deploy/system.toml"; exit 1; }
