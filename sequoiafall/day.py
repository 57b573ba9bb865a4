"""Configuration of simulated days for placement experiments.

A day is a TOML file with the workload, the engines and the disturbances of one
simulation in virtual time. Reading a file validates it as a whole.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar, get_type_hints

import msgspec
from returns.result import Failure, Result, Success

from .settings import Finding

Positive = Annotated[float, msgspec.Meta(gt=0.0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0.0)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Count = Annotated[int, msgspec.Meta(ge=1)]

# A larger simulation takes hours; most likely a unit in the file is wrong.
MAX_REQUESTS = 2_000_000
MAX_ENGINES = 500

StructT = TypeVar("StructT", bound=msgspec.Struct)


class Engines(msgspec.Struct, kw_only=True):
    """Number and speed of the engines; the defaults are the users' specification.

    Parameters
    ----------
    count : int
        Number of engines.
    adapter_slots, places : int
        Adapters and concurrent requests of an engine.
    prefill_tokens_per_s : float
        Prompt tokens that an engine processes per second.
    step_s, step_per_request_s : float
        Duration in seconds of a decode step with one request, and the addition for
        each further request.
    cold_load_s, warm_load_s : float
        Duration in seconds of an adapter load from the weight store and from the
        engine's memory.
    transfers : int
        Concurrent loads that the weight store serves at full speed.
    """

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_ENGINES)] = 6
    adapter_slots: Count = 6
    places: Count = 64
    prefill_tokens_per_s: Positive = 22_000.0
    step_s: Positive = 0.0082
    step_per_request_s: NonNegative = 0.00002
    cold_load_s: Positive = 0.25
    warm_load_s: Positive = 0.025
    transfers: Count = 8


class RequestKind(msgspec.Struct, kw_only=True):
    """Request class of a workload with its arrival rate, sizes and deadlines.

    Parameters
    ----------
    name : str
        Name in reports.
    per_s : float
        Mean arrival rate in requests per second.
    prompt_tokens, output_tokens : float
        Mean sizes. Prompt lengths are log-normal, output lengths exponential.
    spread : float
        Standard deviation of the logarithm of the prompt length.
    on_time_s, give_up_s : float
        Deadline of the first event and timeout of the caller, in seconds after the
        arrival.
    worth, late_worth : float
        Credit for a response that is on time, and for a late one.
    rank : int
        Priority; 0 is the highest.
    adapters : int
        Number of different adapters that are requested.
    skew : float
        Zipf exponent of the adapters' popularity.
    base_share : float
        Share of requests for the base model, without an adapter.
    returns : int
        Maximum number of retries after a refusal.
    """

    name: str
    per_s: Positive
    prompt_tokens: Positive = 1000.0
    spread: NonNegative = 1.0
    output_tokens: Positive = 25.0
    on_time_s: Positive = 0.8
    give_up_s: Positive = 4.0
    worth: Positive = 1.0
    late_worth: NonNegative = 0.3
    rank: Annotated[int, msgspec.Meta(ge=0)] = 1
    adapters: Count = 200
    skew: NonNegative = 1.2
    base_share: Share = 0.05
    returns: Annotated[int, msgspec.Meta(ge=0)] = 1


class Organisation(msgspec.Struct, kw_only=True):
    """Organisation with its relative share of the requests and its token limit.

    A `rate_per_s` of 0 means no limit.
    """

    name: str
    weight: Positive = 1.0
    rate_per_s: NonNegative = 0.0
    burst: NonNegative = 0.0


class Disturbance(msgspec.Struct, kw_only=True):
    """Fault or change of load during a simulated day.

    Parameters
    ----------
    kind : str
        ``burst`` multiplies the request rate by `x`, ``hot_organisation`` the
        weight of the first organisation. ``shift`` makes other adapters popular.
        ``restart`` restarts `count` engines, ``slow`` makes them `x` times slower,
        during ``limit`` they take `x` requests per second. During ``no_leader`` no
        leader places requests. During ``harmful`` a share `x` of the requests have a
        part in their prompts that crashes engines. During ``deadly`` a share `x` of
        the requests are sends of `count` requests that crash engines as a whole. A
        ``silence`` lets `count` engines send nothing for a time and go on.
    at, for_s : float
        Start and duration in seconds.
    x : float
        Factor, rate or share, see `kind`.
    count : int
        Number of affected engines, or of different deadly requests.
    request : str
        Kind of request that a burst, harmful prompts or deadly requests affect;
        empty for all.
    """

    kind: Literal[
        "burst",
        "hot_organisation",
        "shift",
        "restart",
        "slow",
        "limit",
        "no_leader",
        "harmful",
        "deadly",
        "silence",
    ]
    at: NonNegative
    for_s: Positive = 3.0
    x: Positive = 2.0
    count: Count = 1
    request: str = ""


class Day(msgspec.Struct, kw_only=True):
    """Workload, engines and disturbances of one simulation."""

    name: str
    duration_s: Positive = 40.0
    zones: Count = 3
    engines: Engines = msgspec.field(default_factory=Engines)
    requests: list[RequestKind] = []
    organisations: list[Organisation] = []
    disturbances: list[Disturbance] = []


_TABLE_TYPES_BY_FIELD: dict[str, type[msgspec.Struct]] = {
    "requests": RequestKind,
    "organisations": Organisation,
    "disturbances": Disturbance,
}


def read_day(path: str | Path) -> Result[Day, list[Finding]]:
    """Read and validate the file of a day.

    A failure lists all findings, each with its location in the file.
    """
    try:
        content = tomllib.loads(Path(path).read_text())
    except OSError as error:
        return Failure([Finding(str(path), f"a readable file ({error.strerror})")])
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Failure([Finding(str(path), "TOML", str(error).replace("\n", " "))])
    findings: list[Finding] = []
    plain = {
        key: row for key, row in content.items() if key not in _TABLE_TYPES_BY_FIELD
    }
    engines = plain.pop("engines", {})
    day = _convert_table(Day, plain, str(path), findings)
    day.engines = _convert_table(Engines, engines, f"{path}: engines", findings)
    for field, kind in _TABLE_TYPES_BY_FIELD.items():
        rows = content.get(field, [])
        if not isinstance(rows, list):
            findings.append(Finding(f"{path}: {field}", "tables [[...]]", str(rows)))
            continue
        location = f"{path}: {field}"
        checked = [
            _convert_table(kind, row, f"{location}[{number}]", findings)
            for number, row in enumerate(rows)
        ]
        setattr(day, field, checked)
    if not findings:
        findings = _consistency_findings(day, str(path))
    return Failure(findings) if findings else Success(day)


def _consistency_findings(day: Day, location: str) -> list[Finding]:
    if not day.requests:
        return [Finding(f"{location}: requests", "at least one kind of request")]
    findings = []
    expected = sum(row.per_s for row in day.requests) * day.duration_s
    if expected > MAX_REQUESTS:
        limit = f"at most {MAX_REQUESTS} requests in all"
        findings.append(Finding(f"{location}: requests", limit, f"{expected:.0f}"))
    names = {row.name for row in day.requests}
    for number, row in enumerate(day.disturbances):
        if row.request and row.request not in names:
            field = f"{location}: disturbances[{number}].request"
            findings.append(Finding(field, "the name of a request", row.request))
    return findings


def _convert_table(
    kind: type[StructT], content: Any, location: str, findings: list[Finding]
) -> StructT:
    """Convert a table field by field, so that each finding names its field."""
    if not isinstance(content, Mapping):
        findings.append(Finding(location, "a table", str(content)))
        content = {}
    # Top-level fields read `path: field`, fields of a table `path: table.field`.
    prefix = f"{location}." if ": " in location else f"{location}: "
    hints = get_type_hints(kind, include_extras=True)
    values: dict[str, Any] = {}
    for name, value in content.items():
        if name not in hints:
            fields = ", ".join(hints)
            findings.append(Finding(f"{prefix}{name}", f"one of {fields}", str(value)))
            continue
        try:
            values[name] = msgspec.convert(value, hints[name])
        except msgspec.ValidationError as error:
            findings.append(Finding(f"{prefix}{name}", str(error), str(value)))
            values[name] = None
    for field in msgspec.structs.fields(kind):
        if field.required and field.name not in values:
            findings.append(Finding(f"{prefix}{field.name}", "a value"))
            values[field.name] = None
    return kind(**values)
