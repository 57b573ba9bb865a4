"""Program ``sequoiafall-node``: one instance on the users' platform."""

from __future__ import annotations

import os
import sys

from returns.result import Failure

from ..node import Node
from ..process import run_service
from ..settings import Finding, exit_with_findings
from . import names
from .applications import PlatformApplications
from .dialect import PlatformDialect
from .engines import PlatformEngines
from .node_file import NodeFile
from .rows import PlatformRows
from .store import PlatformRowStore

PROGRAM = "sequoiafall-node"
SECRET_VARIABLE = "SEQUOIAFALL_PEER_SECRET"
MIN_SECRET_BYTES = 16


def main() -> None:
    """Run one instance until a signal stops it; exit with 2 on bad settings."""
    path = os.environ.get(names.SETTINGS_VARIABLE, "")
    source = NodeFile(path)
    read = source.read()
    findings = read.failure() if isinstance(read, Failure) else []
    secret = os.environ.get(SECRET_VARIABLE, "").encode()
    if len(secret) < MIN_SECRET_BYTES:
        findings = [*findings, Finding(SECRET_VARIABLE, "at least 16 bytes")]
    if findings:
        exit_with_findings(PROGRAM, findings)
    settings = read.unwrap()
    if "--check" in sys.argv[1:]:
        print(f"{PROGRAM}: settings of {settings.instance} are valid")
        return
    node = Node(
        settings,
        secret,
        PlatformRowStore(settings.store_address),
        PlatformRows(),
        PlatformEngines(),
        PlatformDialect(),
        PlatformApplications(),
        source,
    )
    run_service(node, logs_to_standard_output=True)


if __name__ == "__main__":
    main()
