"""Reads the platform's settings file into `NodeSettings`."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import msgspec
from returns.result import Failure, Result, Success
from ruamel.yaml import YAML, YAMLError

from ..decoding import decode_json
from ..node_settings import (
    DEFAULT_MAX_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
    DRAIN_S,
    HEARTBEAT_S,
    NodeSettings,
    SettingsSource,
)
from ..settings import Finding


class _FieldReader:
    """Reads fields by dotted path and collects all findings."""

    def __init__(self, file_name: str, content: Mapping[str, Any]) -> None:
        self._file_name = file_name
        self._content = content
        self.findings: list[Finding] = []

    def get(self, path: str, expected_type: type, default: Any = None) -> Any:
        """Return a field; it is required unless there is a default."""
        value: Any = self._content
        for name in path.split("."):
            value = value.get(name) if isinstance(value, Mapping) else None
        if value is None:
            if default is not None:
                return default
            self.add_finding(path, expected_type, "")
            return expected_type()
        if (
            expected_type is float
            and isinstance(value, int)
            and not isinstance(value, bool)
        ):
            return float(value)
        if not isinstance(value, expected_type):
            self.add_finding(path, expected_type, str(value))
            return default if default is not None else expected_type()
        return value

    def address(self, path: str, is_required: bool = True) -> str:
        """Return a field that holds a ``host:port``."""
        text = str(self.get(path, str, None if is_required else ""))
        if text and not text.rpartition(":")[2].isdigit():
            self.add_finding(path, str, text, "host:port")
        return text

    def add_finding(
        self, path: str, expected_type: type, found: str, expected: str = ""
    ) -> None:
        """Record a finding."""
        expected = expected or f"a value of type {expected_type.__name__}"
        self.findings.append(Finding(f"{self._file_name}: {path}", expected, found))


class NodeFile(SettingsSource):
    """The settings file, which may change while the process runs, without a signal.

    Parameters
    ----------
    path : str
        Path of the file.
    peer_advertise : str, default=""
        See `NodeSettings`; this setting is not part of the file.
    """

    def __init__(self, path: str, peer_advertise: str = "") -> None:
        self._path = path
        self._peer_advertise = peer_advertise
        self._file_stamp = self._read_file_stamp()

    def has_changed(self) -> bool:
        """Whether the file has changed since the last `read`."""
        return self._read_file_stamp() != self._file_stamp

    def read(self) -> Result[NodeSettings, list[Finding]]:
        """Read the settings."""
        self._file_stamp = self._read_file_stamp()
        return read_node_file(self._path, self._peer_advertise)

    def _read_file_stamp(self) -> tuple[int, int, int]:
        try:
            found = os.stat(self._path)
        except OSError:
            # The file is being replaced; `read` reports it if it is still missing.
            return (0, 0, 0)
        return (found.st_mtime_ns, found.st_size, found.st_ino)


def read_node_file(
    path: str, peer_advertise: str = ""
) -> Result[NodeSettings, list[Finding]]:
    """Read the settings file and report all findings together."""
    if not path:
        return Failure([Finding("settings file", "a path in the environment")])
    try:
        content = _decode(Path(path).read_bytes())
    except OSError as error:
        return Failure([Finding(path, f"a readable file ({error.strerror})")])
    except (YAMLError, ValueError, RecursionError) as error:
        # A date or text that cannot be decoded raises ValueError.
        return Failure([Finding(path, "YAML", str(error).replace("\n", " "))])
    if not isinstance(content, Mapping):
        return Failure([Finding(path, "a mapping")])
    reader = _FieldReader(path, content)
    ports = reader.get("internal_ports", list)
    if len(ports) < 2 or not all(isinstance(port, int) for port in ports):
        reader.add_finding("internal_ports", list, str(ports), "two port numbers")
        ports = [0, 0]
    seeds = reader.get("seeds", list, [])
    settings = NodeSettings(
        instance=reader.get("node", str),
        zone=reader.get("zone", str),
        address=reader.get("ip", str),
        front_address=reader.address("listen_addrs.front"),
        ready_address=reader.address("listen_addrs.ready"),
        directory_address=reader.address("listen_addrs.directory", False),
        peer_port=ports[0],
        metrics_port=ports[0] + 1,
        peer_hints=tuple(str(seed).rpartition(":")[0] for seed in seeds),
        store_address=reader.address("platform.address"),
        peer_advertise=peer_advertise,
        grace_s=reader.get("bounds.grace_s", float, 8.0),
        directory_life_s=reader.get("bounds.ttl_max_s", float, 5.0),
        retry_share=reader.get("bounds.retry_budget_ratio", float, 0.2),
        retry_extra=reader.get("bounds.budget_extra_retries", float, 100.0),
        is_fenced=reader.get("bounds.fencing_enforced", bool, True),
        ends_withdrawn_streams=reader.get("bounds.strict_revocation", bool, False),
        core_share=reader.get("limits.cpu_share", float, 1.0),
        link_mbps=reader.get("limits.link_mbps", float, 1000.0),
        memory_mb=reader.get("limits.memory_mb", float, DEFAULT_MEMORY_MB),
        max_descriptors=reader.get("limits.max_fds", int, DEFAULT_MAX_DESCRIPTORS),
        is_first_start=reader.get("bootstrap", bool, False),
        heartbeat_s=reader.get("heartbeat_ms", float, 1e3 * HEARTBEAT_S) / 1e3,
        drain_s=reader.get("bounds.drain_ms", float, 1e3 * DRAIN_S) / 1e3,
    )
    return Failure(reader.findings) if reader.findings else Success(settings)


def _decode(content: bytes) -> Any:
    """Decode JSON or YAML; JSON is tried first, as it takes a hundredth of the time."""
    try:
        return decode_json(content)
    except msgspec.DecodeError:
        return YAML(typ="safe", pure=True).load(content.decode())
