"""Approximate index of the prompt prefixes that engines have cached."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

# A block is this many words, which stand in for tokens.
PREFIX_BLOCK_WORDS = 16
# Engines drop blocks silently under memory pressure; an entry that was not
# confirmed for this long is no longer counted on.
ENTRY_TTL_S = 120.0
MAX_ENTRIES_PER_SERVER = 4096


def prefix_hashes(prompt: str, adapter: str) -> list[int]:
    """Hash each prefix of whole blocks of a prompt.

    Parameters
    ----------
    prompt : str
        Text of the prompt.
    adapter : str
        Adapter; KV cache of different adapters is never shared.

    Returns
    -------
    list of int
        Signed 64-bit numbers, shortest prefix first.
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
    """One cache event of an engine.

    Parameters
    ----------
    sequence : int
        Number of the event, counted from 1 for each incarnation.
    stored : bool
        Whether the block was stored; else it was removed.
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
    """Servers that probably hold a prefix; never trusted for correctness."""

    def __init__(self) -> None:
        self._entries_by_server: dict[str, _ServerEntries] = {}

    def sequence(self, server: str) -> int:
        """Return the number of the last event applied."""
        entries = self._entries_by_server.get(server)
        return entries.sequence if entries else 0

    def on_events(
        self, server: str, incarnation: int, events: Sequence[CacheEvent], now: float
    ) -> bool:
        """Apply events in the order of their numbers.

        Returns
        -------
        bool
            False after a gap: the entries are dropped and the caller should
            fetch a snapshot for `resynchronise`.
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
        """Replace the entries of a server by a snapshot."""
        entries = _ServerEntries(incarnation, sequence)
        self._entries_by_server[server] = entries
        for value in hashes:
            _add(entries, value, now)

    def on_placed(self, server: str, hashes: Iterable[int], now: float) -> None:
        """Expect the prefixes of a request that was placed at a server."""
        entries = self._entries_by_server.get(server)
        if entries is None:
            entries = self._entries_by_server[server] = _ServerEntries()
        for value in hashes:
            _add(entries, value, now)

    def forget_server(self, server: str) -> None:
        """Drop the entries of a server."""
        self._entries_by_server.pop(server, None)

    def cached_blocks(self, server: str, hashes: Sequence[int], now: float) -> int:
        """Return the number of leading blocks of a prompt cached at a server."""
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
    # The order of the mapping is that of the last sightings.
    entries.seen_at_by_hash.pop(value, None)
    entries.seen_at_by_hash[value] = now
    if len(entries.seen_at_by_hash) > MAX_ENTRIES_PER_SERVER:
        del entries.seen_at_by_hash[next(iter(entries.seen_at_by_hash))]
