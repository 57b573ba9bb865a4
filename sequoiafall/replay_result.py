"""Raw measurements of a replay."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class RequestRecord:
    """Timeline of a request; times are in seconds of the trace, -1 if never.

    Parameters
    ----------
    is_within_rate : bool
        Whether a central bucket without delays would have admitted it.
    stall_s : float
        Time in seconds that it waited for a place, if an adapter load ended the wait.
    refusal_reason : str
        Reason of the refusal; empty if it was not refused.
    resume_count : int
        How often it was resumed at another engine after a restart.
    """

    request_id: str
    organisation: str
    arrived_at: float
    is_within_rate: bool = True
    admitted_at: float = -1.0
    placed_at: float = -1.0
    first_token_at: float = -1.0
    ended_at: float = -1.0
    stall_s: float = 0.0
    refusal_reason: str = ""
    resume_count: int = 0

    @property
    def response_s(self) -> float:
        """Time from arrival to the end of the response, in seconds."""
        return self.ended_at - self.arrived_at


@dataclass(slots=True)
class ReplayResult:
    """Measurements of one replay.

    Parameters
    ----------
    loads_over_time : list of tuple
        Start time of each load in seconds, and the number of loads in transit.
    ideal_tokens, generated_tokens : float
        Tokens that evenly filled batches would have generated, and tokens that were
        generated.
    lowest_level_by_organisation : dict
        Lowest level in tokens of a central bucket that is charged with the actual
        costs; negative if an organisation received more than its rate and burst.
    cleaned_adapter_request_ids : set of str
        Requests whose adapter was resident at a server that was being cleaned when
        they arrived.
    cut_off, wrong_adapter, evicted_in_use : int
        Requests that still ran on a server at the end of its cleaning, requests that
        reached an engine without their adapter although it had not restarted, and
        evictions of adapters in use.
    quota_messages : int
        Quota requests to owners, including those that only settle.
    """

    policy: str
    trace: str
    seed: int
    records_by_id: dict[str, RequestRecord] = field(default_factory=dict)
    loads_over_time: list[tuple[float, int]] = field(default_factory=list)
    ideal_tokens: float = 0.0
    generated_tokens: float = 0.0
    lowest_level_by_organisation: dict[str, float] = field(default_factory=dict)
    cleaned_adapter_request_ids: set[str] = field(default_factory=set)
    cut_off: int = 0
    wrong_adapter: int = 0
    evicted_in_use: int = 0
    quota_messages: int = 0
