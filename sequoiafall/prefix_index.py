"""Approximate index of the prompt prefixes in the engines' KV caches."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

# Block size in words, which approximate tokens.
PREFIX_BLOCK_WORDS = 16
# Engines drop blocks under memory pressure without an event, so entries that are not
# confirmed within this time are ignored.
ENTRY_TTL_S = 120.0
MAX_ENTRIES_PER_SERVER = 4096


def prefix_hashes(prompt: str, adapter: str) -> list[int]:
    """Return the hashes of all prefixes of a prompt that consist of whole blocks.

    Parameters
    ----------
    prompt : str
        Text of the prompt.
    adapter : str
        Name of the adapter; adapters never share KV cache blocks.

    Returns
    -------
    list of int
        Signed 64-bit hashes, the shortest prefix first.
    """
    words = prompt.split()
    digest = xxhash.xxh64(adapter.encode())
    hashes = []
    for start in range(0, len(words) - PREFIX_BLOCK_WORDS + 1, PREFIX_BLOCK_WORDS):
        digest.update("\0".join(words[start : start + PREFIX_BLOCK_WORDS]).encode())
        value = digest.intdigest()
        hashes.append(value - (1 << 64) if value >= 1 << 63 else value)
    return hashes


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """A change of an engine's KV cache.

    Parameters
    ----------
    sequence : int
        Sequence number of the event, starting at 1 for each incarnation.
    stored : bool
        Whether the block was stored; otherwise it was removed.
    prefix_hash : int
        Hash of the prefix that ends with the block.
    """

    sequence: int
    stored: bool
    prefix_hash: int


@dataclass(slots=True)
class _ServerEntries:
    incarnation: int = 0
    sequence: int = 0
    seen_at_by_hash: dict[int, float] = field(default_factory=dict)


class PrefixIndex:
    """Estimates which servers have a prompt prefix cached.

    It serves as a routing hint only; correctness must not depend on it.
    """

    def __init__(self) -> None:
        self._entries_by_server: dict[str, _ServerEntries] = {}

    def sequence(self, server: str) -> int:
        """Return the sequence number of the last applied event, 0 if none."""
        entries = self._entries_by_server.get(server)
        return entries.sequence if entries else 0

    def on_events(
        self, server: str, incarnation: int, events: Sequence[CacheEvent], now: float
    ) -> bool:
        """Apply events in sequence order; events already applied are ignored.

        Returns
        -------
        bool
            False if events are missing. The server's entries are then dropped, and
            the caller should fetch a snapshot for `resynchronise`.
        """
        entries = self._entries(server, incarnation)
        for event in events:
            if event.sequence <= entries.sequence:
                continue
            if event.sequence > entries.sequence + 1:
                self._entries_by_server[server] = _ServerEntries(incarnation)
                return False
            entries.sequence = event.sequence
            if event.stored:
                _add(entries, event.prefix_hash, now)
            else:
                entries.seen_at_by_hash.pop(event.prefix_hash, None)
        return True

    def resynchronise(
        self,
        server: str,
        incarnation: int,
        hashes: Iterable[int],
        sequence: int,
        now: float,
    ) -> None:
        """Replace the entries of a server with a snapshot."""
        entries = _ServerEntries(incarnation, sequence)
        self._entries_by_server[server] = entries
        for value in hashes:
            _add(entries, value, now)

    def on_placed(self, server: str, hashes: Iterable[int], now: float) -> None:
        """Add the prefixes of a request that was placed at a server."""
        entries = self._entries_by_server.get(server)
        if entries is None:
            entries = self._entries_by_server[server] = _ServerEntries()
        for value in hashes:
            _add(entries, value, now)

    def forget_server(self, server: str) -> None:
        """Remove all entries of a server."""
        self._entries_by_server.pop(server, None)

    def cached_blocks(self, server: str, hashes: Sequence[int], now: float) -> int:
        """Return the number of leading prompt blocks that a server has cached."""
        entries = self._entries_by_server.get(server)
        if entries is None:
            return 0
        seen_at_by_hash = entries.seen_at_by_hash
        for position in range(len(hashes), 0, -1):
            seen_at = seen_at_by_hash.get(hashes[position - 1])
            if seen_at is not None and now - seen_at < ENTRY_TTL_S:
                return position
        return 0

    def _entries(self, server: str, incarnation: int) -> _ServerEntries:
        entries = self._entries_by_server.get(server)
        if entries is None or entries.incarnation not in (0, incarnation):
            entries = self._entries_by_server[server] = _ServerEntries()
        entries.incarnation = incarnation
        return entries


def _add(entries: _ServerEntries, value: int, now: float) -> None:
    # Reinsert the entry, so that the mapping stays ordered by last confirmation.
    entries.seen_at_by_hash.pop(value, None)
    entries.seen_at_by_hash[value] = now
    if len(entries.seen_at_by_hash) > MAX_ENTRIES_PER_SERVER:
        del entries.seen_at_by_hash[next(iter(entries.seen_at_by_hash))]
