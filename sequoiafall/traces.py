"""Traces of requests and events: format, files, and a seeded generator.

A trace is a JSON Lines file. The first line is the header with the schema, its
version and the fleet; each further line is one event, ordered by time. The expected
outcomes of a trace are in ``<trace>.outcomes.json`` beside it.
"""

import bisect
import itertools
import math
import random
import re
from collections.abc import Iterable, Iterator
from datetime import datetime
from enum import StrEnum
from pathlib import Path

import msgspec

from .decoding import decode_json
from .table import BackendServer, Organisation

SCHEMA = "sequoiafall-trace"
SCHEMA_VERSION = 1
ADAPTERS = 3000
ZIPF_EXPONENT = 1.4
"""Skew of the popularity of adapters.

At this skew, ordinary operation needs about half of the load rate that the weight
store allows; at 1.1 the store is saturated and every policy refuses requests.
"""

MAX_TOKENS = 256
PLACES = 16
ADAPTER_SLOTS = 24
DURATION_S = 240.0
WARM_UP_S = 90.0
"""Time at the start of a trace that is not measured.

The engines start without adapters, which saturates the weight store for up to 70 s.
"""

OVERLOAD_FACTOR = 4.0
CLEANING_INTERVAL_S = 30.0
CLEANING_WINDOW_S = 20.0
"""Time that each server in turn is out of service; a week of cleaning, compressed."""

OUTAGE_S = 60.0
RATE_HEADROOM = 1.5
"""Configured rate of an organisation relative to its ordinary mean demand."""

BURST_S = 10.0


class EventKind(StrEnum):
    """Kinds of events in a trace."""

    REQUEST = "request"
    SET_ASIDE = "set_aside"
    RETURN = "return"
    RESTART = "restart"
    PLATFORM_DOWN = "platform_down"
    PLATFORM_UP = "platform_up"
    OWNER_LOST = "owner_lost"


class TraceError(ValueError):
    """A file is not a trace in the supported format."""


class Header(msgspec.Struct, kw_only=True):
    """First line of a trace.

    Parameters
    ----------
    name : str
        Names of the workload and the scenario.
    seed : int
        Seed of the generator; 0 for a recorded trace.
    duration_s, measured_from_s : float
        Duration of the trace, and the time from which requests are measured.
    organisations, servers : list
        Rows of the operators' table.
    gateways : int
        Number of gateways.
    one_way_s : float
        One-way delay of a message between instances, in seconds.
    loads_per_s : float
        Rate limit of the weight store.
    overloaded : str, default=""
        Name of the organisation that sends more than its rate, if any.
    """

    name: str
    seed: int
    duration_s: float
    measured_from_s: float
    organisations: list[Organisation]
    servers: list[BackendServer]
    gateways: int
    one_way_s: float
    loads_per_s: float
    overloaded: str = ""
    schema: str = SCHEMA
    version: int = SCHEMA_VERSION


class Event(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One event of a trace; fields that do not apply keep their defaults.

    Parameters
    ----------
    at : float
        Seconds from the start of the trace.
    kind : EventKind
        Kind of event.
    request_id, adapter, version, pool : str
        Identifier, adapter, its version and the pool of a request.
    organisation : str
        Organisation of a request, or the one whose quota owner is lost.
    gateway : int
        Index of the gateway that the caller uses.
    prompt_tokens, max_tokens, output_tokens : int
        Size of the prompt, and limit and actual size of the output.
    server : str
        Backend server that the event affects.
    """

    at: float
    kind: EventKind
    request_id: str = ""
    organisation: str = ""
    adapter: str = ""
    version: str = ""
    pool: str = ""
    gateway: int = 0
    prompt_tokens: int = 0
    max_tokens: int = 0
    output_tokens: int = 0
    server: str = ""


class Trace(msgspec.Struct):
    """A header with its events, ordered by time."""

    header: Header
    events: list[Event]

    def requests(self) -> Iterator[Event]:
        """Return the requests, ordered by time."""
        return (event for event in self.events if event.kind == EventKind.REQUEST)


def write_trace(trace: Trace, path: Path) -> None:
    """Write a trace as JSON Lines."""
    encoder = msgspec.json.Encoder()
    lines = [trace.header, *trace.events]
    path.write_bytes(b"".join(encoder.encode(line) + b"\n" for line in lines))


def read_trace(path: Path) -> Trace:
    """Read a trace.

    Raises
    ------
    TraceError
        The file is not a valid trace in the supported format and version, or its
        events are not ordered by time. The message names the line where there is one.
    """
    lines = path.read_bytes().splitlines()
    if not lines:
        raise TraceError(f"{path}: expected a header, found an empty file")
    try:
        header = decode_json(lines[0], Header)
    except msgspec.MsgspecError as error:
        raise TraceError(f"{path}, line 1: {error}") from error
    if (header.schema, header.version) != (SCHEMA, SCHEMA_VERSION):
        expected = f"{SCHEMA} version {SCHEMA_VERSION}"
        raise TraceError(f"{path}, line 1: expected {expected}")
    events = []
    for number, line in enumerate(lines[1:], start=2):
        try:
            events.append(decode_json(line, Event))
        except msgspec.MsgspecError as error:
            raise TraceError(f"{path}, line {number}: {error}") from error
    if any(a.at > b.at for a, b in itertools.pairwise(events)):
        raise TraceError(f"{path}: expected events in order of time")
    return Trace(header, events)


class Workload(msgspec.Struct, frozen=True, kw_only=True):
    """Fleet and demand of a generated trace.

    Parameters
    ----------
    name : str
        Name of the workload.
    zones : tuple of str
        Availability zones.
    runners_by_pool : dict of str to int
        Number of engines of each pool.
    requests_per_s : float
        Mean request rate without overload.
    shares : tuple of float
        Share of each organisation in the demand; also its scheduling weight.
    gateways : int
        Number of gateways.
    one_way_s : float
        One-way delay of a message between instances, in seconds.
    loads_per_s : float
        Rate limit of the weight store.
    zipf_exponent : float
        Skew of the popularity of adapters.
    adapter_slots : int
        Adapter slots of each engine.
    """

    name: str
    zones: tuple[str, ...]
    runners_by_pool: dict[str, int]
    requests_per_s: float
    shares: tuple[float, ...]
    gateways: int
    one_way_s: float
    loads_per_s: float
    zipf_exponent: float = ZIPF_EXPONENT
    adapter_slots: int = ADAPTER_SLOTS


PUTNU_GALDS = Workload(
    name="putnu-galds",
    zones=("kuldiga", "talsi", "ventspils"),
    runners_by_pool={"helper": 6, "desk": 3},
    requests_per_s=10.0,
    shares=(0.34, 0.28, 0.2, 0.1, 0.08),
    gateways=13,
    one_way_s=0.0015,
    loads_per_s=3.0,
)
KLOMPIE = Workload(
    name="klompie",
    zones=("zone-1", "zone-2", "zone-3"),
    runners_by_pool={"assistant": 9, "ledger": 3},
    requests_per_s=14.0,
    shares=(0.5, 0.2, 0.14, 0.1, 0.06),
    gateways=15,
    one_way_s=0.001,
    loads_per_s=4.0,
)
WORKLOADS = (PUTNU_GALDS, KLOMPIE)
HARDER_WORKLOADS = tuple(
    msgspec.structs.replace(
        workload, name=f"{workload.name}-harder", zipf_exponent=1.1, adapter_slots=16
    )
    for workload in WORKLOADS
)
"""The same workloads with flatter popularity and fewer adapter slots.

They need more loads than the weight store allows.
"""

WORKLOADS_BY_NAME = {
    workload.name: workload for workload in (*WORKLOADS, *HARDER_WORKLOADS)
}


class Scenario(StrEnum):
    """Faults and changes of load in generated traces."""

    ORDINARY = "ordinary"
    SHIFT = "shift"
    OVERLOAD = "overload"
    CLEANING = "cleaning"
    RESTARTS = "restarts"
    OUTAGE = "outage"
    OWNER_LOSS = "owner-loss"


class _Generator:
    def __init__(
        self, workload: Workload, scenario: Scenario, seed: int, duration_s: float
    ) -> None:
        self._workload = workload
        self._scenario = scenario
        self._duration_s = duration_s
        self._random = random.Random(f"{workload.name}/{scenario}/{seed}")
        self._organisations = self._make_organisations()
        self._adapters_by_organisation = self._make_adapters()
        self._cumulative_by_organisation = {
            name: list(
                itertools.accumulate(
                    (rank + 1) ** -workload.zipf_exponent
                    for rank in range(len(adapters))
                )
            )
            for name, adapters in self._adapters_by_organisation.items()
        }
        self._gateways_by_organisation = {
            row.name: self._random.sample(range(workload.gateways), 4)
            for row in self._organisations
        }
        self.overloaded = (
            self._organisations[1].name if scenario == Scenario.OVERLOAD else ""
        )

    def _make_organisations(self) -> list[Organisation]:
        rows = []
        tokens_per_s = self._workload.requests_per_s * (300 + MAX_TOKENS)
        for index, share in enumerate(self._workload.shares):
            rate = round(tokens_per_s * share * RATE_HEADROOM)
            name = f"organisation-{index + 1}"
            rows.append(Organisation(name, share, rate, rate * BURST_S))
        return rows

    def _make_adapters(self) -> dict[str, list[str]]:
        by_organisation: dict[str, list[str]] = {}
        number = itertools.count(1)
        for row, share in zip(self._organisations, self._workload.shares, strict=True):
            count = round(ADAPTERS * share)
            names = [f"adapter-{next(number)}" for _ in range(count)]
            self._random.shuffle(names)
            by_organisation[row.name] = names
        return by_organisation

    def servers(self) -> list[BackendServer]:
        rows: list[BackendServer] = []
        for pool, engines in self._workload.runners_by_pool.items():
            for index in range(engines):
                zone = self._workload.zones[index % len(self._workload.zones)]
                rows.append(
                    BackendServer(
                        name=f"{pool}-{index + 1}",
                        address=f"127.0.0.1:{9000 + len(rows)}",
                        server_kind="engine",
                        pool=pool,
                        zone=zone,
                        state="in_service",
                        checks_fencing=index % 2 == 0,
                        adapter_slots=self._workload.adapter_slots,
                        places=PLACES,
                    )
                )
        return rows

    def header(self, seed: int) -> Header:
        return Header(
            name=f"{self._workload.name}/{self._scenario}",
            seed=seed,
            duration_s=self._duration_s,
            measured_from_s=self._measured_from_s(),
            organisations=self._organisations,
            servers=self.servers(),
            gateways=self._workload.gateways,
            one_way_s=self._workload.one_way_s,
            loads_per_s=self._workload.loads_per_s,
            overloaded=self.overloaded,
        )

    def _measured_from_s(self) -> float:
        if self._scenario == Scenario.SHIFT:
            return self._duration_s / 2
        if self._scenario == Scenario.OVERLOAD:
            return self._duration_s / 3
        return min(WARM_UP_S, self._duration_s / 3)

    def events(self) -> list[Event]:
        events = [*self._request_events(), *self._fault_events()]
        events.sort(key=lambda event: event.at)
        return events

    def _request_events(self) -> Iterator[Event]:
        shift_at = self._duration_s / 2 if self._scenario == Scenario.SHIFT else 1e9
        is_shifted = False
        for number, (at, organisation) in enumerate(self._arrivals()):
            if at >= shift_at and not is_shifted:
                is_shifted = True
                self._shift_popularity()
            yield self._request_event(number, at, organisation)

    def _arrivals(self) -> list[tuple[float, str]]:
        arrivals = []
        for row, share in zip(self._organisations, self._workload.shares, strict=True):
            rate = self._workload.requests_per_s * share
            overload_factor = OVERLOAD_FACTOR if row.name == self.overloaded else 1.0
            at = 0.0
            while True:
                # One daily cycle per trace; demand varies by a quarter around its mean.
                phase = 2 * math.pi * at / self._duration_s
                variation = 1.0 + 0.25 * math.sin(phase)
                is_overload_phase = at >= self._duration_s / 3
                factor = (
                    overload_factor * RATE_HEADROOM
                    if is_overload_phase and overload_factor > 1
                    else variation
                )
                at += self._random.expovariate(rate * factor)
                if at >= self._duration_s:
                    break
                arrivals.append((at, row.name))
        return sorted(arrivals)

    def _request_event(self, number: int, at: float, organisation: str) -> Event:
        adapters = self._adapters_by_organisation[organisation]
        cumulative = self._cumulative_by_organisation[organisation]
        sampled_weight = self._random.random() * cumulative[-1]
        rank = min(bisect.bisect_left(cumulative, sampled_weight), len(adapters) - 1)
        output = self._random.lognormvariate(math.log(90), 0.6)
        return Event(
            at=round(at, 6),
            kind=EventKind.REQUEST,
            request_id=f"r{number}",
            organisation=organisation,
            adapter=adapters[rank],
            version="1",
            pool=self._pool_of(adapters[rank]),
            gateway=self._random.choice(self._gateways_by_organisation[organisation]),
            prompt_tokens=self._random.randint(100, 500),
            max_tokens=MAX_TOKENS,
            output_tokens=max(1, min(MAX_TOKENS, round(output))),
        )

    def _pool_of(self, adapter: str) -> str:
        runners_by_pool = self._workload.runners_by_pool
        index = int(adapter.rpartition("-")[2]) % sum(runners_by_pool.values())
        for pool, engines in runners_by_pool.items():
            if index < engines:
                return pool
            index -= engines
        raise AssertionError("the index is below the number of engines")

    def _shift_popularity(self) -> None:
        """Swap the most popular fifth of the adapters with random other ones."""
        for adapters in self._adapters_by_organisation.values():
            top = len(adapters) // 5
            moved = self._random.sample(range(top, len(adapters)), top)
            for rank, other in enumerate(moved):
                adapters[rank], adapters[other] = adapters[other], adapters[rank]

    def _fault_events(self) -> Iterator[Event]:
        middle = self._duration_s / 2
        names = [server.name for server in self.servers()]
        if self._scenario == Scenario.CLEANING:
            at = self._measured_from_s()
            for name in names:
                if at + CLEANING_INTERVAL_S > self._duration_s:
                    return
                yield Event(at=at, kind=EventKind.SET_ASIDE, server=name)
                back_at = at + CLEANING_WINDOW_S
                yield Event(at=back_at, kind=EventKind.RETURN, server=name)
                at += CLEANING_INTERVAL_S
        elif self._scenario == Scenario.RESTARTS:
            for index, name in enumerate(self._random.sample(names, 3)):
                yield Event(
                    at=middle + 5.0 * index, kind=EventKind.RESTART, server=name
                )
        elif self._scenario == Scenario.OUTAGE:
            yield Event(at=middle, kind=EventKind.PLATFORM_DOWN)
            yield Event(at=middle + OUTAGE_S, kind=EventKind.PLATFORM_UP)
        elif self._scenario == Scenario.OWNER_LOSS:
            # An instance owns the quota of at most about one in five organisations.
            largest = self._organisations[0].name
            yield Event(at=middle, kind=EventKind.OWNER_LOST, organisation=largest)


def default_duration_s(workload: Workload, scenario: Scenario) -> float:
    """Return the default duration in seconds; cleaning covers every server."""
    if scenario != Scenario.CLEANING:
        return DURATION_S
    servers = sum(workload.runners_by_pool.values())
    return WARM_UP_S + servers * CLEANING_INTERVAL_S


def generate_trace(
    workload: Workload,
    scenario: Scenario,
    seed: int,
    duration_s: float | None = None,
) -> Trace:
    """Generate a trace; equal arguments give an equal trace.

    Parameters
    ----------
    workload : Workload
        Fleet and demand.
    scenario : Scenario
        Fault or change of load.
    seed : int
        Seed of all random choices.
    duration_s : float or None
        Duration in seconds; `default_duration_s` if None.
    """
    if duration_s is None:
        duration_s = default_duration_s(workload, scenario)
    generator = _Generator(workload, scenario, seed, duration_s)
    return Trace(generator.header(seed), generator.events())


_LOG_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S+)')


def _parse_timestamp(stamp: str) -> float | None:
    try:
        return datetime.fromisoformat(stamp).timestamp()
    except ValueError:
        return None


def trace_from_log(lines: Iterable[str], header: Header) -> Trace:
    """Convert a gateway's log to a trace for the fleet of a header.

    The log has no prompts. The reserved tokens become the token limit, and the
    generated tokens of ``finished`` or ``refused`` become the output size.

    Parameters
    ----------
    lines : iterable of str
        Log lines of one or more gateways.
    header : Header
        Header with the fleet; name, seed and times are replaced.

    Returns
    -------
    Trace
        Admitted requests; time 0 is the first one.
    """
    requests_by_id: dict[str, Event] = {}
    gateways_by_name: dict[str, int] = {}
    pool = min(server.pool for server in header.servers)
    for line in lines:
        fields = {key: value.strip('"') for key, value in _LOG_FIELD.findall(line)}
        at = _parse_timestamp(fields.get("time", ""))
        request_id = fields.get("request_id", "")
        logged_request = requests_by_id.get(request_id)
        # Calls of plain services have no model, because they use no adapter.
        if fields.get("event") == "admitted" and at is not None and "model" in fields:
            adapter, _, version = fields["model"].partition("@")
            name = request_id.rpartition("-")[0]
            gateway = gateways_by_name.setdefault(name, len(gateways_by_name))
            tokens = int(fields.get("tokens", MAX_TOKENS))
            requests_by_id[request_id] = Event(
                at=at,
                kind=EventKind.REQUEST,
                request_id=request_id,
                organisation=fields.get("organisation", ""),
                adapter=adapter,
                version=version or "1",
                pool=pool,
                gateway=gateway % header.gateways,
                max_tokens=tokens,
                output_tokens=tokens,
            )
        elif (
            fields.get("event") in ("finished", "refused")
            and logged_request is not None
        ):
            generated = int(fields.get("generated_tokens", logged_request.max_tokens))
            logged_request.output_tokens = max(
                1, min(generated, logged_request.max_tokens)
            )
    ordered = sorted(requests_by_id.values(), key=lambda event: event.at)
    start = ordered[0].at if ordered else 0.0
    for event in ordered:
        event.at = round(event.at - start, 6)
    header = msgspec.structs.replace(
        header,
        name="recorded",
        seed=0,
        duration_s=ordered[-1].at if ordered else 0.0,
        measured_from_s=0.0,
    )
    return Trace(header, ordered)
