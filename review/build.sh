#!/bin/sh
# Checks that the stand-ins of the scripts compile; nothing else has to be built.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib

for path in [pathlib.Path("standins.py"), *sorted(pathlib.Path().glob("*/case.py"))]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print(f"{path} compiles")
PYTHON
