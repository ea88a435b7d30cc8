#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs of the standard library; this only checks that they load.
cd "$(dirname "$0")/.." || exit 1
python3 - <<'PYTHON'
import pathlib
import sys
for path in [*pathlib.Path("review").rglob("*.py"), *pathlib.Path("tests/soak").glob("*.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
sys.exit(0 if sys.version_info >= (3, 9) else "Python 3.9 or newer is needed")
PYTHON
