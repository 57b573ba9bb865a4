"""Weighted start-time fair queueing (SFQ) of organisations, in tokens."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Weighted tokens by which an organisation may be served ahead of the one that is due
# if that keeps the batch on fewer adapters. It is about one short response; with 1,024
# an adapter was retired before the first request that it was loaded for.
DEFAULT_SLACK_TOKENS = 64.0


@dataclass(slots=True)
class _Flow:
    weight: float = 1.0
    start: float = 0.0
    finish: float = 0.0
    backlogged: bool = False


class FairQueue:
    """Virtual-time tags that order organisations by tokens received per weight.

    It holds no requests itself. An organisation that becomes backlogged starts at
    the current virtual time, so that it earns no credit while it is idle.

    Parameters
    ----------
    slack_tokens : float
        Weighted tokens by which a preferred organisation may be served early.
    """

    def __init__(self, slack_tokens: float = DEFAULT_SLACK_TOKENS) -> None:
        self.slack_tokens = slack_tokens
        self.virtual_time = 0.0
        self._flows_by_organisation: dict[str, _Flow] = {}

    def set_weights(self, weights_by_organisation: Mapping[str, float]) -> None:
        """Set the weights (> 0) of some organisations; others keep theirs."""
        for organisation, weight in weights_by_organisation.items():
            self._flow(organisation).weight = weight

    def weight(self, organisation: str) -> float:
        """Return the weight of an organisation, 1 if it is unknown."""
        flow = self._flows_by_organisation.get(organisation)
        return flow.weight if flow else 1.0

    def start_tag(self, organisation: str) -> float:
        """Return the start tag of an organisation's next request."""
        flow = self._flow(organisation)
        if flow.backlogged:
            return flow.start
        return max(self.virtual_time, flow.finish)

    def tokens_behind(self, organisation: str) -> float:
        """Return the tokens that a backlogged organisation is behind its fair share.

        It falls behind while it is backlogged but not served, for example while its
        adapters are being loaded.
        """
        flow = self._flow(organisation)
        if not flow.backlogged:
            return 0.0
        return max(0.0, self.virtual_time - flow.start) * flow.weight

    def set_backlogged(self, organisation: str, backlogged: bool) -> None:
        """Set whether an organisation has waiting requests."""
        flow = self._flow(organisation)
        if backlogged and not flow.backlogged:
            flow.start = max(self.virtual_time, flow.finish)
        flow.backlogged = backlogged

    def serve(self, organisation: str, tokens: float) -> None:
        """Charge an organisation for a request that is placed now."""
        flow = self._flow(organisation)
        start = self.start_tag(organisation)
        self.virtual_time = max(self.virtual_time, start)
        flow.finish = start + tokens / flow.weight
        flow.start = flow.finish

    def refund(self, organisation: str, unused_tokens: float) -> None:
        """Refund tokens that a request was charged for but did not use."""
        flow = self._flow(organisation)
        flow.finish -= unused_tokens / flow.weight
        flow.start -= unused_tokens / flow.weight

    def choose(
        self, organisations: Iterable[str], preferred: frozenset[str] = frozenset()
    ) -> str | None:
        """Choose the organisation to serve next.

        Parameters
        ----------
        organisations : iterable of str
            Organisations with a request that can be placed.
        preferred : frozenset of str
            Those of them that are served first within the slack.

        Returns
        -------
        str or None
            The organisation, or None if `organisations` is empty.
        """
        tags = sorted((self.start_tag(name), name) for name in organisations)
        if not tags:
            return None
        latest = tags[0][0] + self.slack_tokens
        for tag, name in tags:
            if tag > latest:
                break
            if name in preferred:
                return name
        return tags[0][1]

    def _flow(self, organisation: str) -> _Flow:
        flow = self._flows_by_organisation.get(organisation)
        if flow is None:
            flow = self._flows_by_organisation[organisation] = _Flow()
        return flow
