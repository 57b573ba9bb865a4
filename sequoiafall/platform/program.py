"""Program ``sequoiafall-node``: runs an instance on the users' platform."""

from __future__ import annotations

import gc
import os
import signal
import sys

# SIGHUP announces changed settings and would end the process while its modules are
# imported. A change in the meantime is detected from the file once it runs.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Garbage collection takes a tenth of the time for importing the modules.
gc.disable()
# Another tenth is the HTTP library loading all certificates of the machine when it is
# imported; nothing in this deployment uses TLS.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
os.environ.setdefault("SSL_CERT_DIR", os.devnull)

# ruff: noqa: E402
from returns.result import Failure

from ..node import Node
from ..process import run_service
from ..settings import Finding, SettingError, exit_with_findings, parse_address
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
ADVERTISE_VARIABLE = "SEQUOIAFALL_PEER_ADVERTISE"


def main() -> None:
    """Run an instance until a signal stops it; exit with 2 if settings are invalid."""
    path = os.environ.get(names.SETTINGS_VARIABLE, "")
    advertise = os.environ.get(ADVERTISE_VARIABLE, "")
    source = NodeFile(path, advertise)
    result = source.read()
    findings = result.failure() if isinstance(result, Failure) else []
    secret = os.environ.get(SECRET_VARIABLE, "").encode()
    if len(secret) < MIN_SECRET_BYTES:
        findings = [*findings, Finding(SECRET_VARIABLE, "at least 16 bytes")]
    try:
        parse_address(advertise or "host:0")
    except SettingError as error:
        findings = [*findings, Finding(ADVERTISE_VARIABLE, str(error), advertise)]
    if findings:
        exit_with_findings(PROGRAM, findings)
    settings = result.unwrap()
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
