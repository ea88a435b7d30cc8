#!/bin/sh
# Checks the stand-ins of the scripts of the cases from 6 on: they are Python and need no build.
set -e
cd "$(dirname "$0")"
python3 - common-2/*.py */case.py <<'CHECK'
import ast
import pathlib
import sys

for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(encoding="utf-8"), name)
CHECK
