#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the deploy file's build: the
# stand-ins are Python, so they are compiled, and the project's own store is imported.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
python3 - <<'END'
from pathlib import Path

for path in [*Path("review").glob("*2.py"), *Path("review").glob("[0-9]*/case.py")]:
    compile(path.read_text(), str(path), "exec")
import features.builders.platform.store
import mangogauge.platform.service
END
