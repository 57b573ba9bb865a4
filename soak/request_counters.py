"""Check that the metrics of a node account for each request that it has read."""

from __future__ import annotations

from collections import defaultdict

READ_METRIC = "sequoiafall_node_requests_read_total"
ENDS_METRIC = "sequoiafall_node_request_ends_total"


def _totals_by_metric(text: str) -> dict[str, float]:
    totals: dict[str, float] = defaultdict(float)
    for line in text.splitlines():
        if line.startswith("#") or not line.strip():
            continue
        labelled, _, value = line.rpartition(" ")
        totals[labelled.partition("{")[0]] += float(value)
    return totals


def uncounted_requests(text: str) -> float:
    """Return how many requests a node has read that have no counted end.

    Parameters
    ----------
    text : str
        Metrics of a node without open requests, in the text format. Zero is returned
        if it has no such counters.
    """
    totals = _totals_by_metric(text)
    if READ_METRIC not in totals:
        return 0.0
    return totals[READ_METRIC] - totals[ENDS_METRIC]
