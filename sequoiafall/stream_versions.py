"""Software versions of each service, and the version at which each stream began.

Backend servers of several software versions may serve side by side in one service. A
stream may go on only at servers of the version that began it. Times are seconds of
`boot_time`.
"""

from __future__ import annotations

import enum
import hashlib
import heapq
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

# A version may have streams that can still be taken up for this long after the last
# entry that names it is gone.
VERSION_RETAIN_S = 60.0
KEY_BYTES = 8
# Origins that are kept; the oldest are dropped first.
MAX_ORIGINS = 500_000
# Expired origins that one call drops.
MAX_EXPIRED_PER_CALL = 64


class TakeUpResult(enum.StrEnum):
    """What is known of the version of a stream that a caller takes up."""

    KNOWN = "known"
    SINGLE = "single version"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class StreamOrigin:
    """Software version at which a stream began.

    Parameters
    ----------
    key : bytes
        Key of the stream, see `stream_key`.
    service : str
        Service whose server began the stream.
    software : str
        Software version of that server.
    expires_at : float
        Until when the caller may take the stream up, in seconds.
    """

    key: bytes
    service: str
    software: str
    expires_at: float


class _ServiceVersions:
    """Live versions of one service."""

    __slots__ = ("announced", "live_until", "several_since")

    def __init__(self) -> None:
        self.announced: frozenset[str] = frozenset()
        # Versions that are not announced, with the end of their retention.
        self.live_until: dict[str, float] = {}
        # Running number at which the service began to have several live versions, 0
        # if it has not.
        self.several_since = 0

    @property
    def live(self) -> frozenset[str]:
        return self.announced.union(self.live_until)


class StreamVersions:
    """Knows which versions of a service may have streams, and where streams began.

    Attributes
    ----------
    is_known : bool
        Whether the history of the fleet has been loaded, from the store or a leader.
        Without it, an older version may have streams that this instance has not seen.
    revision : int
        Grows with each change of the live versions of a service. A version whose
        retention ends counts from the next call that names the time.
    """

    __slots__ = (
        "_by_service",
        "_expiries",
        "_newest_now",
        "_number",
        "_origins_by_key",
        "is_known",
        "revision",
    )

    def __init__(self) -> None:
        self.is_known = False
        self.revision = 0
        self._by_service: dict[str, _ServiceVersions] = {}
        # Origins with their running numbers, in the order of these.
        self._origins_by_key: OrderedDict[bytes, tuple[int, StreamOrigin]] = (
            OrderedDict()
        )
        # Heap of times at which an origin is looked at, one for each key.
        self._expiries: list[tuple[float, bytes]] = []
        self._number = 0
        # `record` is not told the time.
        self._newest_now = float("-inf")

    def __len__(self) -> int:
        return len(self._origins_by_key)

    # Versions of services

    def set_announced(
        self, versions_by_service: Mapping[str, Collection[str]], now: float
    ) -> None:
        """Record the versions of all entries, also of servers that leave.

        Parameters
        ----------
        versions_by_service : mapping of str to collection of str
            All versions that are announced now. Those that no longer are stay live for
            `VERSION_RETAIN_S`.
        now : float
            Time in seconds.
        """
        self._advance(now)
        for service in self._by_service.keys() | versions_by_service.keys():
            announced = frozenset(versions_by_service.get(service, ()))
            versions = self._by_service.get(service) or _ServiceVersions()
            self._expire_versions(service, now)
            if announced == versions.announced:
                continue
            before = versions.live
            for software in versions.announced - announced:
                versions.live_until[software] = now + VERSION_RETAIN_S
            for software in announced:
                versions.live_until.pop(software, None)
            versions.announced = announced
            self._by_service[service] = versions
            self._on_live(versions, before)

    def merge(
        self, versions_by_service: Mapping[str, Collection[str]], now: float
    ) -> None:
        """Add versions from the store or another instance.

        Those that are not announced are live for `VERSION_RETAIN_S` from now on.
        """
        self._advance(now)
        for service, names in versions_by_service.items():
            if not names:
                continue
            versions = self._by_service.get(service) or _ServiceVersions()
            self._expire_versions(service, now)
            before = versions.live
            for software in set(names) - versions.announced:
                versions.live_until[software] = now + VERSION_RETAIN_S
            self._by_service[service] = versions
            self._on_live(versions, before)

    def live_versions(self, service: str, now: float) -> frozenset[str]:
        """Return the versions that may have streams that can be taken up."""
        self._advance(now)
        versions = self._expire_versions(service, now)
        return versions.live if versions is not None else frozenset()

    def has_several(self, service: str, now: float) -> bool:
        """Whether a service has more than one live version."""
        return len(self.live_versions(service, now)) > 1

    def several_by_service(self, now: float) -> dict[str, list[str]]:
        """Return the live versions of the services that have more than one."""
        self._advance(now)
        for service in list(self._by_service):
            self._expire_versions(service, now)
        return {
            service: sorted(versions.live)
            for service, versions in sorted(self._by_service.items())
            if versions.several_since
        }

    # Origins of streams

    def record(
        self, key: bytes, service: str, software: str, expires_at: float
    ) -> None:
        """Record where a stream begins; a later record of its key replaces this one."""
        if not key:
            return
        self._number += 1
        origins = self._origins_by_key
        if key not in origins:
            heapq.heappush(self._expiries, (expires_at, key))
        origins[key] = (
            self._number,
            StreamOrigin(key, service, software, expires_at),
        )
        origins.move_to_end(key)
        if len(origins) > MAX_ORIGINS:
            origins.popitem(last=False)
        if len(self._expiries) > 2 * MAX_ORIGINS:
            heapq.heappop(self._expiries)
        self._drop_expired()

    def expire(self, now: float) -> None:
        """Drop some of the origins whose time is over; `record` drops further ones."""
        self._advance(now)

    def find(self, key: bytes, service: str, now: float) -> str | None:
        """Return the version at which a stream of a service began.

        Returns
        -------
        str or None
            The version, None if the stream is not known, its time is over, or it
            belongs to another service.
        """
        origin = self._find(key, now)
        if origin is None or origin.service != service:
            return None
        return origin.software

    def decide(self, key: bytes, service: str, now: float) -> tuple[TakeUpResult, str]:
        """Return at which version a stream may go on.

        Parameters
        ----------
        key : bytes
            Key of the stream, empty if the caller does not name it.
        service : str
            Service of the route that the caller uses.
        now : float
            Time in seconds.

        Returns
        -------
        result : TakeUpResult
            What is known.
        software : str
            The version, empty for any.
        """
        origin = self._find(key, now)
        live = self.live_versions(service, now)
        if origin is not None:
            # A stream of another service, or one that began at a server without a
            # version beside others that have one: no version is right for certain.
            if origin.service != service or (not origin.software and live - {""}):
                return TakeUpResult.UNKNOWN, ""
            return TakeUpResult.KNOWN, origin.software
        if self.is_known and len(live) == 1:
            return TakeUpResult.SINGLE, next(iter(live))
        return TakeUpResult.UNKNOWN, ""

    def unexpired(self, now: float) -> list[StreamOrigin]:
        """Return the origins of all streams that may still be taken up."""
        self._advance(now)
        return [
            origin
            for _, origin in self._origins_by_key.values()
            if origin.expires_at > now
        ]

    def origins_since(self, number: int, now: float) -> tuple[list[StreamOrigin], int]:
        """Return new origins of the services that have several live versions.

        Parameters
        ----------
        number : int
            Running number up to which the caller has them, 0 for none. Of a service
            that has begun to have several versions since, all origins are new.
        now : float
            Time in seconds.

        Returns
        -------
        origins : list of StreamOrigin
            Origins that have not expired, in the order of their records.
        newest : int
            Running number that they reach.
        """
        several = self.several_by_service(now)
        if not several or number >= self._number:
            return [], self._number
        begun = {
            service
            for service in several
            if self._by_service[service].several_since > number
        }
        origins = []
        if begun:
            for its_number, origin in self._origins_by_key.values():
                if (
                    origin.service in several
                    and (its_number > number or origin.service in begun)
                    and origin.expires_at > now
                ):
                    origins.append(origin)
            return origins, self._number
        for its_number, origin in reversed(self._origins_by_key.values()):
            if its_number <= number:
                break
            if origin.service in several and origin.expires_at > now:
                origins.append(origin)
        origins.reverse()
        return origins, self._number

    def _find(self, key: bytes, now: float) -> StreamOrigin | None:
        self._advance(now)
        found = self._origins_by_key.get(key)
        if found is None or found[1].expires_at <= now:
            return None
        return found[1]

    def _advance(self, now: float) -> None:
        self._newest_now = max(self._newest_now, now)
        self._drop_expired()

    def _drop_expired(self) -> None:
        for _ in range(MAX_EXPIRED_PER_CALL):
            if not self._expiries or self._expiries[0][0] > self._newest_now:
                return
            _, key = self._expiries[0]
            found = self._origins_by_key.get(key)
            if found is not None and found[1].expires_at > self._newest_now:
                # A later record has replaced the one that this time is of.
                heapq.heapreplace(self._expiries, (found[1].expires_at, key))
                continue
            heapq.heappop(self._expiries)
            if found is not None:
                del self._origins_by_key[key]

    def _expire_versions(self, service: str, now: float) -> _ServiceVersions | None:
        versions = self._by_service.get(service)
        if versions is None:
            return None
        if versions.live_until:
            before = versions.live
            versions.live_until = _unexpired(versions.live_until.items(), now)
            self._on_live(versions, before)
        if not versions.announced and not versions.live_until:
            del self._by_service[service]
        return versions

    def _on_live(self, versions: _ServiceVersions, before: frozenset[str]) -> None:
        live = versions.live
        if live == before:
            return
        self.revision += 1
        if len(live) < 2:
            versions.several_since = 0
        elif not versions.several_since:
            self._number += 1
            versions.several_since = self._number


def stream_key(organisation: str, attempt_id: str) -> bytes:
    """Return the key of a stream, which differs for each organisation.

    Parameters
    ----------
    organisation : str
        Name of the caller's organisation.
    attempt_id : str
        Identifier of the client's attempt that brought the first event.
    """
    # Undecodable bytes of a header are surrogates here.
    fields = (organisation, attempt_id)
    encoded = b"\0".join(text.encode("utf-8", "surrogatepass") for text in fields)
    return hashlib.blake2b(encoded, digest_size=KEY_BYTES).digest()


def _unexpired(items: Iterable[tuple[str, float]], now: float) -> dict[str, float]:
    return {software: until for software, until in items if until > now}
