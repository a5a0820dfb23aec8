#!/bin/sh
# The stand-ins use only the standard library: this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -m py_compile lib/standins.py
