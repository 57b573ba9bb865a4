"""Settings of a process, read from flags and environment variables.

A flag takes precedence over its environment variable, which takes precedence over
the default. All settings are validated at start; all findings are reported together.
"""

import argparse
import os
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NoReturn

from returns.result import Failure, Result, Success

ENVIRONMENT_PREFIX = "SEQUOIAFALL_"
EXIT_BAD_SETTINGS = 2


@dataclass(slots=True, frozen=True)
class Finding:
    """A validation error in some input, with its place.

    Parameters
    ----------
    place : str
        Flag, variable, table row and column, or HTTP field.
    expected : str
        What would have been accepted.
    found : str
        What was given; empty for secrets.
    """

    place: str
    expected: str
    found: str = ""

    def __str__(self) -> str:
        found = f", found {self.found!r}" if self.found else ""
        return f"{self.place}: expected {self.expected}{found}"


class SettingError(ValueError):
    """Invalid value of a setting; the message says what is expected."""


def parse_text(text: str) -> str:
    """Accept any non-empty text."""
    if not text:
        raise SettingError("a non-empty text")
    return text


def parse_name(text: str) -> str:
    """Accept letters, digits, dots, underscores and hyphens."""
    if not text or not all(c.isalnum() or c in "._-" for c in text):
        raise SettingError("letters, digits, '.', '_' or '-'")
    return text


def parse_address(text: str) -> str:
    """Accept ``host:port`` with a port between 0 and 65535."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65535:
        raise SettingError("host:port")
    return text


def parse_address_list(text: str) -> list[str]:
    """Accept a comma-separated list of ``host:port``."""
    return [parse_address(part.strip()) for part in text.split(",") if part.strip()]


def parse_url(text: str) -> str:
    """Accept a URL with scheme http or https."""
    if not text.startswith(("http://", "https://")):
        raise SettingError("a URL that starts with http:// or https://")
    return text.rstrip("/")


def _parse_positive(text: str, expected: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0.0 < value < 1e9:
        raise SettingError(expected)
    return value


def parse_seconds(text: str) -> float:
    """Accept a positive number of seconds."""
    return _parse_positive(text, "a positive number of seconds")


def parse_rate(text: str) -> float:
    """Accept a positive number per second."""
    return _parse_positive(text, "a positive number per second")


def parse_count(text: str) -> int:
    """Accept an integer of at least 0."""
    if not text.isdigit():
        raise SettingError("an integer of at least 0")
    return int(text)


def parse_secret_file(text: str) -> bytes:
    """Read a secret of at least 16 bytes from a file.

    Returns
    -------
    bytes
        Content of the file without surrounding white space.
    """
    try:
        secret = Path(text).read_bytes().strip()
    except OSError as error:
        raise SettingError(f"a readable file ({error.strerror})") from error
    if len(secret) < 16:
        raise SettingError("a file with at least 16 bytes")
    return secret


def parse_file(text: str) -> str:
    """Accept the path of an existing file that can be read."""
    if not Path(text).is_file():
        raise SettingError("the path of an existing file")
    try:
        Path(text).read_bytes()
    except OSError as error:
        raise SettingError(f"a readable file ({error.strerror})") from error
    return text


@dataclass(slots=True, frozen=True)
class Setting:
    """One setting of a process.

    Parameters
    ----------
    name : str
        Name of the flag without dashes, for example ``platform-url``.
    parse : callable
        Converts text to the value or raises `SettingError`.
    help : str
        Help text, with the unit.
    default : str or None, default=None
        Text used if neither flag nor variable is given; None if required.
    """

    name: str
    parse: Callable[[str], Any]
    help: str
    default: str | None = None

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper().replace("-", "_")

    @property
    def field(self) -> str:
        """Name of the attribute that holds the value."""
        return self.name.replace("-", "_")


def parse_settings(
    settings: Sequence[Setting],
    arguments: Sequence[str],
    environment: Mapping[str, str],
    program: str = "sequoiafall",
    description: str = "",
) -> Result[argparse.Namespace, list[Finding]]:
    """Read all settings and collect every finding.

    Parameters
    ----------
    settings : sequence of Setting
        The settings that the process knows.
    arguments : sequence of str
        Command line without the name of the program.
    environment : mapping of str to str
        Environment variables.
    program, description : str
        Shown by ``--help``.

    Returns
    -------
    Result
        A namespace with one attribute per setting, or the findings.
    """
    parser = argparse.ArgumentParser(
        prog=program, description=description, allow_abbrev=False
    )
    for setting in settings:
        default = "required" if setting.default is None else setting.default or "none"
        text = f"{setting.help} [{setting.variable}; default: {default}]"
        parser.add_argument(f"--{setting.name}", help=text.replace("%", "%%"))
    known, unknown = parser.parse_known_args(list(arguments))
    findings = [Finding(argument, "a known flag") for argument in unknown]
    values = argparse.Namespace()
    for setting in settings:
        place, text = f"--{setting.name}", getattr(known, setting.field)
        if text is None and setting.variable in environment:
            place, text = setting.variable, environment[setting.variable]
        if text is None:
            text = setting.default
        if text is None:
            findings.append(Finding(f"{place} or {setting.variable}", "a value"))
            continue
        if text == "" and setting.default == "":
            setattr(values, setting.field, None)
            continue
        try:
            setattr(values, setting.field, setting.parse(text))
        except SettingError as error:
            findings.append(Finding(place, str(error), text))
    return Failure(findings) if findings else Success(values)


def exit_with_findings(program: str, findings: Sequence[Finding]) -> NoReturn:
    """Print the findings and exit with status 2."""
    for finding in findings:
        print(f"{program}: {finding}", file=sys.stderr)
    sys.exit(EXIT_BAD_SETTINGS)


def settings_from_command_line(
    settings: Sequence[Setting], program: str, description: str
) -> argparse.Namespace:
    """Read the settings of this process or exit with status 2."""
    result = parse_settings(
        settings, sys.argv[1:], os.environ, program=program, description=description
    )
    if isinstance(result, Success):
        return result.unwrap()
    exit_with_findings(program, result.failure())
