#!/usr/bin/env bash
# Builds the stand-ins of all cases. They are Python sources that need the
# standard library of Python 3.11 only, so this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info[:2] >= (3, 11), sys.version'
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
