"""Limits refunds for grants that are no longer outstanding."""

ROUNDING_TOLERANCE = 1e-6
"""Difference in tokens, or relative one, that is treated as rounding error."""


class RefundAllowances:
    """Number of tokens that may still be refunded for each closed grant.

    All allowances shrink by one common factor, which is stored separately so that
    shrinking takes constant time.
    """

    __slots__ = ("_bases_by_id", "_factor", "_prune_at", "total")

    _PRUNE_LENGTH = 64

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Drop all allowances."""
        self._bases_by_id: dict[str, float] = {}
        self._factor = 1.0
        self._prune_at = self._PRUNE_LENGTH
        self.total = 0.0

    def add(self, grant_id: str, tokens: float) -> None:
        """Allow refunds of up to `tokens` tokens for a grant."""
        if (
            len(self._bases_by_id) >= self._prune_at
            or self._factor < ROUNDING_TOLERANCE
        ):
            self._prune()
        self._bases_by_id[grant_id] = tokens / self._factor
        self.total += tokens

    def take(self, grant_id: str, tokens: float) -> float:
        """Return how many of `tokens` may be refunded, and use up the allowance."""
        if tokens <= 0 or grant_id not in self._bases_by_id:
            return 0.0
        base = self._bases_by_id.pop(grant_id)
        taken = min(tokens, base * self._factor)
        self.total = max(0.0, self.total - taken)
        if taken == tokens:
            self._bases_by_id[grant_id] = base - taken / self._factor
        return taken

    def drop(self, grant_id: str) -> None:
        """Drop the allowance of a grant whose last request has ended."""
        base = self._bases_by_id.pop(grant_id, 0.0)
        self.total = max(0.0, self.total - base * self._factor)

    def shrink_to(self, max_total: float) -> None:
        """Shrink all allowances in proportion until their sum is at most this."""
        if max_total <= 0.0:
            self.clear()
        elif self.total > max_total:
            self._factor *= max_total / self.total
            self.total = max_total

    def _prune(self) -> None:
        allowances_by_id = {
            grant_id: base * self._factor
            for grant_id, base in self._bases_by_id.items()
        }
        self._bases_by_id = {
            grant_id: allowance
            for grant_id, allowance in allowances_by_id.items()
            if allowance >= 1
        }
        self._factor = 1.0
        self._prune_at = 2 * len(self._bases_by_id) + self._PRUNE_LENGTH
        self.total = sum(self._bases_by_id.values())
