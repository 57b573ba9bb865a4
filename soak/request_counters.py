"""Check that the metrics of a node account for each request that it has read."""

from __future__ import annotations

READ_METRIC = "sequoiafall_node_requests_read_total"
ENDS_METRIC = "sequoiafall_node_request_ends_total"
# Labels of ends that are counted apart, and of ends that only an error explains.
UNREAD_LABEL = 'read="no"'
ERROR_LABEL = 'cause="internal_error"'


def _samples(text: str, metric: str) -> list[tuple[str, float]]:
    """Return labels and value of each sample of a metric in the text format."""
    rows = []
    for line in text.splitlines():
        labelled, _, value = line.rpartition(" ")
        name, _, labels = labelled.partition("{")
        if name == metric:
            rows.append((labels, float(value)))
    return rows


def counter_findings(text: str) -> list[str]:
    """Return what is wrong with the counters of a node without open requests.

    Parameters
    ----------
    text : str
        Metrics of the node in the text format. Nothing is judged if it has no such
        counters.
    """
    read = _samples(text, READ_METRIC)
    if not read:
        return []
    ends = [row for row in _samples(text, ENDS_METRIC) if UNREAD_LABEL not in row[0]]
    missing = sum(value for _, value in read) - sum(value for _, value in ends)
    errors = sum(value for labels, value in ends if ERROR_LABEL in labels)
    findings = []
    if missing:
        findings.append(f"counts {missing:g} requests without an end")
    if errors:
        findings.append(f"counts {errors:g} requests that an internal error ended")
    return findings
