#!/usr/bin/env bash
# Prepares the scripts of the third review: compiles their stand-ins, which run from
# source with the libraries of the build line in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps" PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import sequoiafall.platform.program  # noqa: F401
import sequoiafall.standins.adapter_engine  # noqa: F401
import sequoiafall.standins.row_server  # noqa: F401
import soak.relay  # noqa: F401

import review.lab3  # noqa: F401
PYTHON
