"""Owner's record of the places in use at the servers of a pool.

Places begin with a grant, a gateway's claim or an engine's report.
"""

import heapq

from .loads import AdapterKey
from .pool_state import (
    CLAIM_TTL_S,
    DEFAULT_WORK_TOKENS,
    PLACE_TTL_S,
    REPORT_LAG_MAX_S,
    Place,
    PlaceOrigin,
    RunningRequest,
    ServerReport,
    ServerState,
)
from .waiting import WaitingRequest
from .wire.gen.ttypes import PlaceEntry, PlaceState

# Interval at which an expired place is checked until a report confirms its end; the
# same as the report interval.
EXPIRY_CHECK_S = 0.25


class PlaceTracker:
    """Tracks every place until its gateway, a report or its expiry ends it.

    Parameters
    ----------
    fencing_token : int
        Prefix of place identifiers, which makes them unique among owners.
    servers_by_name : dict
        Servers of the pool, shared with the scheduler.
    """

    def __init__(
        self, fencing_token: int, servers_by_name: dict[str, ServerState]
    ) -> None:
        self.by_place_id: dict[str, Place] = {}
        self.servers_with_free_place: dict[str, ServerState] = {}
        self._fencing_token = fencing_token
        self._servers_by_name = servers_by_name
        self._number = 0
        self._expiries: list[tuple[float, str]] = []

    def update_free_place_index(self, server: ServerState) -> None:
        """Add or remove a server in the index of servers with a free place."""
        if server.has_free_place:
            self.servers_with_free_place[server.name] = server
        else:
            self.servers_with_free_place.pop(server.name, None)

    def grant(self, server: ServerState, waiting: WaitingRequest, now: float) -> Place:
        """Allocate a place at a server to a request."""
        self._number += 1
        request = waiting.request
        place = Place(
            place_id=f"{self._fencing_token}.{self._number}",
            request_id=request.request_id,
            gateway=request.gateway,
            organisation=request.organisation,
            key=waiting.key,
            server=server.name,
            origin=PlaceOrigin.GRANTED,
            granted_at=now,
            expires_at=now + PLACE_TTL_S,
            charged_tokens=waiting.cost,
            prompt_tokens=request.prompt_tokens or 0,
            remaining_tokens=waiting.cost,
        )
        self._put(server, place)
        return place

    def update(self, entry: PlaceEntry, gateway: str, now: float) -> Place | None:
        """Apply an update of a gateway about a place; return the place if it ended."""
        place = self.by_place_id.get(entry.place_id)
        if entry.state == PlaceState.RELEASED:
            if place is None:
                return self._release_claim(entry, now)
            place.output_tokens = max(place.output_tokens, entry.generated_tokens or 0)
            return self.release(place, now)
        if place is None:
            place = self._claim(entry, gateway, now)
        if place is None:
            return None
        place.started = True
        place.expires_at = now + CLAIM_TTL_S
        server = self._servers_by_name[place.server]
        server.record_progress(place, entry.generated_tokens or 0)
        return None

    def release(self, place: Place, now: float) -> Place:
        """End a place and return it."""
        self.by_place_id.pop(place.place_id, None)
        server = self._servers_by_name.get(place.server)
        if server is None:
            return place
        if server.places_by_request_id.get(place.request_id) is place:
            server.remove_place(place.request_id)
            if server.is_engine:
                server.released_at_by_request_id[place.request_id] = now
        self.update_free_place_index(server)
        return place

    def on_restart(self, server: ServerState) -> list[Place]:
        """End the places whose requests were lost in a restart of the server.

        The restart happened after the state shown by the last report. A place whose
        initial TTL ended later may have been first used after the restart, so it is
        left to its gateway or its expiry.
        """
        if server.report is None:
            return []
        granted_before = server.report.requested_at - REPORT_LAG_MAX_S - PLACE_TTL_S
        places = server.places_by_request_id.values()
        interrupted = [p for p in places if p.started and p.granted_at < granted_before]
        return self._release_all(server, interrupted)

    def release_all(self, server: ServerState) -> list[Place]:
        """End all places of a server that left the pool."""
        return self._release_all(server, list(server.places_by_request_id.values()))

    def _release_all(self, server: ServerState, places: list[Place]) -> list[Place]:
        for place in places:
            self.by_place_id.pop(place.place_id, None)
            server.remove_place(place.request_id)
        server.released_at_by_request_id.clear()
        self.update_free_place_index(server)
        return places

    def on_report(
        self, server: ServerState, report: ServerReport, now: float
    ) -> list[Place]:
        """Reconcile the places with a report; return those that ended."""
        covered_until = report.requested_at - REPORT_LAG_MAX_S
        released = server.released_at_by_request_id
        for request_id in [r for r, at in released.items() if at < covered_until]:
            del released[request_id]
        reported_ids = set()
        for running in report.running:
            reported_ids.add(running.request_id)
            place = server.places_by_request_id.get(running.request_id)
            if place is not None:
                place.started = True
                server.record_progress(place, running.generated_tokens)
            elif running.request_id not in released:
                place = _reported_place(server, running, now)
                self._put(server, place)
            if place is not None:
                place.last_reported_at = report.requested_at
        # The report lag varies, so a later report may show an earlier state.
        ended = [
            place
            for place in server.places_by_request_id.values()
            if place.origin is PlaceOrigin.REPORTED
            and place.request_id not in reported_ids
            and place.last_reported_at <= covered_until
        ]
        for place in ended:
            self.release(place, now)
        self.update_free_place_index(server)
        return ended

    def expire(self, now: float) -> list[Place]:
        """End the expired places that are certainly unused; return them."""
        ended = []
        while self._expiries and self._expiries[0][0] <= now:
            _, place_id = heapq.heappop(self._expiries)
            place = self.by_place_id.get(place_id)
            if place is None or place.origin is PlaceOrigin.REPORTED:
                continue
            if place.expires_at > now:
                heapq.heappush(self._expiries, (place.expires_at, place_id))
            elif self._is_unused(place, now):
                ended.append(self.release(place, now))
            else:
                heapq.heappush(self._expiries, (now + EXPIRY_CHECK_S, place_id))
        return ended

    def outstanding(self) -> list[PlaceEntry]:
        """Return all places as claims, for the next owner of the pool."""
        return [
            place.to_entry() for place in self.by_place_id.values() if place.gateway
        ]

    def _is_unused(self, place: Place, now: float) -> bool:
        """Whether an expired place is certainly unused.

        A request may have been sent just before the place expired, so only a report
        late enough to show such a request counts.
        """
        server = self._servers_by_name[place.server]
        certain_from = place.expires_at + REPORT_LAG_MAX_S
        if not server.is_engine:
            return now >= certain_from
        report = server.report
        if report is None or report.requested_at < certain_from:
            return False
        return all(r.request_id != place.request_id for r in report.running)

    def _claim(self, entry: PlaceEntry, gateway: str, now: float) -> Place | None:
        server = self._servers_by_name.get(entry.backend_server)
        if server is None:
            return None
        place = Place(
            place_id=entry.place_id,
            request_id=entry.request_id,
            gateway=gateway,
            organisation=entry.organisation,
            key=(entry.adapter or "", entry.version or ""),
            server=server.name,
            origin=PlaceOrigin.CLAIMED,
            granted_at=now,
            expires_at=now + CLAIM_TTL_S,
            remaining_tokens=DEFAULT_WORK_TOKENS,
        )
        self._put(server, place)
        return place

    def _release_claim(self, entry: PlaceEntry, now: float) -> Place | None:
        """End a place known only from a report when its gateway releases it."""
        server = self._servers_by_name.get(entry.backend_server)
        if server is None:
            return None
        place = server.places_by_request_id.get(entry.request_id)
        if place is None:
            if server.is_engine:
                server.released_at_by_request_id[entry.request_id] = now
            return None
        if place.origin is PlaceOrigin.REPORTED:
            return self.release(place, now)
        return None

    def _put(self, server: ServerState, place: Place) -> None:
        previous = server.add_place(place)
        if previous is not None:
            self.by_place_id.pop(previous.place_id, None)
        self.by_place_id[place.place_id] = place
        server.released_at_by_request_id.pop(place.request_id, None)
        heapq.heappush(self._expiries, (place.expires_at, place.place_id))
        self.update_free_place_index(server)


def _reported_place(server: ServerState, running: RunningRequest, now: float) -> Place:
    key: AdapterKey = (running.adapter, running.version)
    return Place(
        place_id=f"reported.{server.name}.{running.request_id}",
        request_id=running.request_id,
        gateway="",
        organisation="",
        key=key,
        server=server.name,
        origin=PlaceOrigin.REPORTED,
        granted_at=now,
        expires_at=now,
        remaining_tokens=DEFAULT_WORK_TOKENS,
        started=True,
    )
