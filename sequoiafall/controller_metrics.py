"""Prometheus metrics of a controller."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from aioprometheus.collectors import Gauge, Registry
from aioprometheus.renderer import render


class ControllerMetrics:
    """Gauges that are updated whenever the metrics are scraped."""

    def __init__(self) -> None:
        self.registry = Registry()
        self.head_revision = self._gauge("head_revision", "Revision of the held head")
        self.in_force_revision = self._gauge(
            "in_force_revision", "Highest revision known to be in force"
        )
        self.head_fresh_seconds = self._gauge(
            "head_fresh_seconds", "Seconds for which the held head stays fresh"
        )
        self.view_members = self._gauge("view_members", "Members of the held view")
        self.owned_resources = self._gauge(
            "owned_resources", "Organisations and pools that this instance acts for"
        )
        self.quota_granted_tokens = self._gauge(
            "quota_granted_tokens_total", "Tokens granted to gateways"
        )
        self.quota_refusals = self._gauge(
            "quota_refusals_total", "Quota requests that were not granted"
        )
        self.platform_available = self._gauge(
            "platform_available", "Whether the last read of the platform succeeded"
        )
        self.gateways = self._gauge("gateways", "Gateways that poll this controller")
        self._backend_servers = self._gauge(
            "backend_servers", "Backend servers of the table, by state"
        )
        self._pool_gauges_by_field = {
            "waiting": self._gauge(
                "waiting_requests", "Requests that wait for a place of the pool"
            ),
            "loads_waiting": self._gauge(
                "loads_waiting", "Adapter loads that have not been ordered yet"
            ),
            "loads_in_transit": self._gauge(
                "loads_in_transit", "Adapter loads that run"
            ),
            "adapters_resident": self._gauge(
                "adapters_resident", "Adapter slots of the pool that are loaded"
            ),
            "places": self._gauge("places", "Places of the pool"),
            "places_in_use": self._gauge("places_in_use", "Places that are taken"),
            "servers_usable": self._gauge(
                "usable_backend_servers", "Backend servers that take requests"
            ),
        }
        self._pool_events = self._gauge(
            "pool_events_total", "Places, orders and reports of the pool, by their end"
        )
        self._organisation_gauges_by_field = {
            "rate": self._gauge(
                "organisation_rate_tokens_per_second", "Rate of the organisation"
            ),
            "demand_tokens_per_s": self._gauge(
                "organisation_demand_tokens_per_second",
                "Tokens that gateways reserve for the organisation",
            ),
            "level_tokens": self._gauge(
                "organisation_level_tokens", "Tokens that can be granted"
            ),
        }

    def _gauge(self, name: str, description: str) -> Gauge:
        return Gauge(f"sequoiafall_{name}", description, registry=self.registry)

    def set_servers(self, count_by_state: Mapping[str, int]) -> None:
        """Set the number of backend servers in each state."""
        for state, count in count_by_state.items():
            self._backend_servers.set({"state": state}, count)

    def set_pools(self, status_by_pool: Mapping[str, Mapping[str, Any]]) -> None:
        """Set the gauges of the pools that this instance acts for and drop others."""
        for gauge in (*self._pool_gauges_by_field.values(), self._pool_events):
            gauge.values.clear()
        for pool, status in status_by_pool.items():
            for name, gauge in self._pool_gauges_by_field.items():
                gauge.set({"pool": pool}, status[name])
            for event, count in status["counts"].items():
                self._pool_events.set({"pool": pool, "event": event}, count)

    def set_organisations(self, usage_by_name: Mapping[str, Mapping[str, Any]]) -> None:
        """Set the gauges of the organisations that this instance acts for."""
        for gauge in self._organisation_gauges_by_field.values():
            gauge.values.clear()
        for organisation, usage in usage_by_name.items():
            for name, gauge in self._organisation_gauges_by_field.items():
                gauge.set({"organisation": organisation}, usage[name])

    def render(self, accept: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Return the body and headers of an HTTP response for an ``Accept`` header."""
        return render(self.registry, list(accept))
