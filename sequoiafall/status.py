"""Status reports of a controller for operators.

Only the owner of a resource knows the state of its buckets and pools. A controller
therefore asks every instance that it knows of, so any of them can report on the
whole fleet.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Success

from .admission import MODEL_SEPARATOR, Admission, Caller, ResolvedModel
from .decoding import decode_json
from .owner_client import OWNER_RETRY_AFTER_S
from .ownership import organisation_resource, owner_of, pool_resource
from .refusal import Reason, Refusal, RunStatus
from .table import BACKEND_SERVER_STATES, TableState
from .wire.gen.ttypes import MemberStatus, StatusRequest

if TYPE_CHECKING:
    from .controller import Controller

# A report waits for the slowest instance, and an unreachable one must not delay it
# longer than this.
FETCH_TIMEOUT_S = 0.8
# A fleet has hundreds of instances, which are not all called at once.
MAX_CONCURRENT_CALLS = 32


def local_report(controller: Controller, resource: str = "") -> dict[str, Any]:
    """Return the state of this instance's buckets, pools and gateways.

    Parameters
    ----------
    controller : Controller
        Controller of this instance.
    resource : str, default=""
        ``organisation/<name>`` or ``pool/<name>`` to report only on this resource,
        with the slots of each backend server; empty for a summary of all.
    """
    now = time.monotonic()
    pools = {
        pool: status
        for pool, status in controller.pools.statuses().items()
        if resource in ("", pool_resource(pool)) and status["may_act"]
    }
    quotas = {
        name: usage
        for name, usage in controller.quotas.usages(now).items()
        if resource in ("", organisation_resource(name))
    }
    if not resource:
        pools = {pool: _summarize_pool(status) for pool, status in pools.items()}
    return {
        "quotas": {name: asdict(usage) for name, usage in quotas.items()},
        "pools": pools,
        "gateways": {
            name: {
                "instance": controller.member.instance,
                "head_revision": record.head_revision,
                "leaving": record.leaving,
                "open_streams": record.open_streams,
            }
            for name, record in controller.gateways.gateways(now).items()
        },
    }


def _summarize_pool(status: dict[str, Any]) -> dict[str, Any]:
    """Replace the slots of each backend server by counts by state."""
    servers = []
    for server in status["servers"]:
        states = Counter(server["slots"].values())
        short = {key: value for key, value in server.items() if key != "slots"}
        short["adapters_resident"] = states["resident"]
        short["adapters_loading"] = states["loading"]
        servers.append(short)
    return {**status, "servers": servers}


async def fleet_report(controller: Controller) -> dict[str, Any]:
    """Return the state of instances, organisations, pools and backend servers.

    Instances that did not answer within `FETCH_TIMEOUT_S` are listed under
    ``unanswered``; the resources that they own have no figures.
    """
    now = time.monotonic()
    coordinator = controller.coordinator
    statuses = coordinator.statuses(now)
    reports_by_instance = await _fetch_reports(controller, statuses)
    merged = _merge_reports(reports_by_instance)
    state = coordinator.follower.state
    members = coordinator.gateway_head(now).view.members
    pools = sorted({s.pool for s in state.backend_servers_by_name.values()})
    servers = _server_rows(controller, merged["pools"])
    return {
        "instance": coordinator.member.instance,
        "lifecycle": coordinator.lifecycle.state,
        "head_revision": coordinator.revision,
        "in_force_revision": coordinator.in_force_revision(now),
        "fresh_for_s": round(coordinator.fresh_for_s(now), 3),
        "platform_available": controller.follower.available,
        "unanswered": [
            s.instance for s in statuses if s.instance not in reports_by_instance
        ],
        "view": {
            "revision": coordinator.head.view.revision,
            "members": [m.instance for m in coordinator.head.view.members],
            "pending_views": [v.revision for v in coordinator.head.pending_views],
        },
        "instances": [_encode_status(status) for status in statuses],
        "gateways": merged["gateways"],
        "organisations": {
            name: {
                "owner": _owner_name(organisation_resource(name), members),
                "rate": row.rate,
                "burst": row.burst,
                **merged["quotas"].get(name, {}),
            }
            for name, row in sorted(state.organisations_by_name.items())
        },
        "pools": {
            pool: {
                "owner": _owner_name(pool_resource(pool), members),
                **_pool_row(merged["pools"].get(pool)),
            }
            for pool in pools
        },
        "backend_servers_by_state": _count_states(state),
        "backend_servers": servers,
    }


def _pool_row(status: dict[str, Any] | None) -> dict[str, Any]:
    if status is None:
        return {}
    servers = status["servers"]
    return {
        "ready": status["ready"],
        "waiting": sum(status["waiting"].values()),
        "loads_waiting": status["loads_wanted"],
        "loads_in_transit": status["loads_in_transit"],
        "adapters_resident": sum(server["adapters_resident"] for server in servers),
        "places": sum(server["places"] for server in servers),
        "places_in_use": sum(server["places_in_use"] for server in servers),
        "servers_usable": sum(server["takes_places"] for server in servers),
        "counts": status["counts"],
    }


def set_metrics(controller: Controller) -> None:
    """Update the metrics of the resources for which this instance acts as owner."""
    metrics = controller.metrics
    state = controller.coordinator.follower.state
    report = local_report(controller)
    metrics.set_servers(_count_states(state))
    metrics.set_pools({name: _pool_row(pool) for name, pool in report["pools"].items()})
    rows = state.organisations_by_name
    metrics.set_organisations(
        {name: {"rate": rows[name].rate, **u} for name, u in report["quotas"].items()}
    )


def _count_states(state: TableState) -> dict[str, int]:
    counts = Counter(row.state for row in state.backend_servers_by_name.values())
    return {name: counts[name] for name in BACKEND_SERVER_STATES}


def _server_rows(
    controller: Controller, pools: dict[str, Any]
) -> dict[str, dict[str, Any]]:
    reports_by_name = {
        server["name"]: server
        for status in pools.values()
        for server in status["servers"]
    }
    rows = controller.coordinator.follower.state.backend_servers_by_name
    return {
        name: {
            "pool": row.pool,
            "state": row.state,
            **{k: v for k, v in reports_by_name.get(name, {}).items() if k != "name"},
        }
        for name, row in sorted(rows.items())
    }


async def explain(
    controller: Controller, key_name: str, model: str, tokens: int
) -> dict[str, Any]:
    """Return whether a request would be admitted now, and where it would run.

    Parameters
    ----------
    controller : Controller
        Controller of this instance.
    key_name : str
        Name of the caller's key.
    model : str
        ``adapter`` or ``adapter@version``.
    tokens : int
        Prompt tokens of the request plus its ``max_tokens``.
    """
    now = time.monotonic()
    coordinator = controller.coordinator
    state = coordinator.follower.state
    report: dict[str, Any] = {
        "revision": coordinator.revision,
        "fresh": coordinator.is_fresh(now),
        "key_name": key_name,
        "model": model,
        "tokens": tokens,
    }
    if not report["fresh"]:
        detail = "this instance cannot confirm its configuration"
        return _refused_report(
            report, Refusal(Reason.STALE_CONFIGURATION, detail=detail)
        )
    key = state.keys_by_name.get(key_name)
    if key is None:
        detail = "there is no key of this name"
        return _refused_report(report, Refusal(Reason.INVALID_KEY, detail=detail))
    report.update(organisation=key.organisation, key_state=key.state)
    admission = Admission(state)
    caller = Caller(key.organisation, key.name, key.digest)
    refusal = admission.check_key(caller)
    if refusal is not None:
        return _refused_report(report, refusal)
    resolved = admission.resolve_model(caller, model)
    if isinstance(resolved, Failure):
        return _refused_report(report, resolved.failure())
    target = resolved.unwrap()
    report.update(adapter=target.adapter, version=target.version, pool=target.pool)
    refusal = await _explain_quota(controller, report, key.organisation)
    if refusal is None:
        refusal = await _explain_place(controller, report, target)
    if refusal is not None:
        return _refused_report(report, refusal)
    return {**report, "decision": "admitted"}


def _refused_report(report: dict[str, Any], refusal: Refusal) -> dict[str, Any]:
    return {
        **report,
        "decision": "refused",
        "reason": str(refusal.reason),
        "ran": str(RunStatus.NOT_RUN),
        "detail": refusal.detail,
        "retry_after_s": refusal.retry_after_s,
    }


async def _explain_quota(
    controller: Controller, report: dict[str, Any], organisation: str
) -> Refusal | None:
    """Add the organisation's quota to the report; return a refusal, if any."""
    row = controller.coordinator.follower.state.organisations_by_name.get(organisation)
    if row is None:
        return Refusal(Reason.NOT_PERMITTED, detail="no such organisation")
    owner, owner_report = await _fetch_owner_report(
        controller, organisation_resource(organisation)
    )
    report.update(quota_owner=owner, rate=row.rate, burst=row.burst)
    usage = owner_report["quotas"].get(organisation) if owner_report else None
    if usage is None:
        detail = "the organisation's owner does not act; requests wait for up to 8 s"
        return Refusal(
            Reason.OWNER_UNAVAILABLE, retry_after_s=OWNER_RETRY_AFTER_S, detail=detail
        )
    report.update(usage)
    if report["tokens"] > row.burst:
        detail = "the request needs more tokens than the organisation's burst"
        return Refusal(Reason.INVALID_REQUEST, detail=detail)
    # Granted tokens count as well: the gateway of the request may hold them.
    missing = report["tokens"] - usage["level_tokens"] - usage["outstanding_tokens"]
    if missing > 0:
        detail = f"{missing:g} tokens are missing in the organisation's bucket"
        wait_s = round(missing / row.rate, 3)
        return Refusal(Reason.RATE_EXCEEDED, retry_after_s=wait_s, detail=detail)
    return None


async def _explain_place(
    controller: Controller, report: dict[str, Any], target: ResolvedModel
) -> Refusal | None:
    """Add the candidate backend servers to the report; return a refusal, if any."""
    owner, owner_report = await _fetch_owner_report(
        controller, pool_resource(target.pool)
    )
    report["pool_owner"] = owner
    status = owner_report["pools"].get(target.pool) if owner_report else None
    if status is None or not status["ready"]:
        detail = "the pool's owner does not act; requests wait for up to 8 s"
        return Refusal(
            Reason.OWNER_UNAVAILABLE, retry_after_s=OWNER_RETRY_AFTER_S, detail=detail
        )
    slot = f"{target.adapter}{MODEL_SEPARATOR}{target.version}"
    servers = status["servers"]
    report["backend_servers"] = [
        {
            "name": server["name"],
            "takes_places": server["takes_places"],
            "drain": server["drain"],
            "places": server["places"],
            "places_in_use": server["places_in_use"],
            "adapter": server["slots"].get(slot, "not resident"),
        }
        for server in servers
    ]
    usable = [server for server in servers if server["takes_places"]]
    resident = [s["name"] for s in usable if s["slots"].get(slot) == "resident"]
    report["waits_for_load"] = bool(usable) and not resident
    report["runs_on"] = resident or [server["name"] for server in usable]
    if not usable:
        detail = "no backend server of the pool takes requests"
        return Refusal(Reason.NO_BACKEND_SERVER, detail=detail)
    retry_after_s = status["load_retry_after_s"].get(slot, 0.0)
    if not resident and retry_after_s:
        detail = "loads of the adapter fail at every backend server"
        return Refusal(
            Reason.ADAPTER_LOAD_FAILED, retry_after_s=retry_after_s, detail=detail
        )
    return None


# Calls to other instances


async def _fetch_reports(
    controller: Controller, statuses: list[MemberStatus]
) -> dict[str, dict[str, Any]]:
    """Return the reports of the instances that answered, by instance name."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    async def ask(status: MemberStatus) -> dict[str, Any] | None:
        if status.instance == controller.member.instance:
            return local_report(controller)
        async with semaphore:
            return await _fetch_report(controller, status.controller_address, "")

    reports = await asyncio.gather(*(ask(status) for status in statuses))
    return {
        status.instance: report
        for status, report in zip(statuses, reports, strict=True)
        if report is not None
    }


async def _fetch_owner_report(
    controller: Controller, resource: str
) -> tuple[str | None, dict[str, Any] | None]:
    """Return the name of a resource's owner, and its report if it answered."""
    coordinator = controller.coordinator
    members = coordinator.gateway_head(time.monotonic()).view.members
    owner = owner_of(resource, members)
    if owner is None:
        return None, None
    if owner.controller_address == controller.member.controller_address:
        return owner.instance, local_report(controller, resource)
    return owner.instance, await _fetch_report(
        controller, owner.controller_address, resource
    )


async def _fetch_report(
    controller: Controller, address: str, resource: str
) -> dict[str, Any] | None:
    request = StatusRequest(resource)
    result = await controller.peers.call(address, request, FETCH_TIMEOUT_S)
    if not isinstance(result, Success):
        return None
    try:
        report = decode_json(result.unwrap().body)
    except msgspec.DecodeError:
        return None
    return report if isinstance(report, dict) else None


def _merge_reports(
    reports_by_instance: dict[str, dict[str, Any]],
) -> dict[str, dict[str, Any]]:
    merged: dict[str, dict[str, Any]] = {"quotas": {}, "pools": {}, "gateways": {}}
    for report in reports_by_instance.values():
        for part, items in merged.items():
            items.update(report.get(part, {}))
    return {part: dict(sorted(items.items())) for part, items in merged.items()}


def _owner_name(resource: str, members: list[Any]) -> str | None:
    owner = owner_of(resource, members)
    return owner.instance if owner is not None else None


def _encode_status(status: MemberStatus) -> dict[str, Any]:
    return {
        "instance": status.instance,
        "zone": status.zone,
        "ready": status.ready,
        "leaving": status.leaving,
        "head_revision": status.head_revision,
        "head_age_ms": status.head_age_ms,
        "gateway_addresses": status.gateway_addresses,
        "seat": status.seat,
    }
