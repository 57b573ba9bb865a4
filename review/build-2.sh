#!/bin/sh
# Checks that the stand-ins of the cases 6 to 10 can be started with the build of the
# deploy file; they are Python modules of this repository and need nothing else.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1
exec python3 -c 'import sequoiafall.standins.row_server, sequoiafall.standins.adapter_engine
import review.lab2'
