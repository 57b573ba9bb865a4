"""What a replay measures."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class RequestRecord:
    """What happened to a request; times are seconds of the trace, -1 if never.

    Parameters
    ----------
    is_within_rate : bool
        Whether a central bucket without delays would have admitted it.
    stall_s : float
        Time that it waited for a place, if an adapter load ended the wait.
    """

    request_id: str
    organisation: str
    at: float
    is_within_rate: bool = True
    admitted_at: float = -1.0
    placed_at: float = -1.0
    first_token_at: float = -1.0
    ended_at: float = -1.0
    stall_s: float = 0.0
    refusal_reason: str = ""
    resumed: int = 0

    @property
    def response_s(self) -> float:
        """Time to the end of the answer."""
        return self.ended_at - self.at


@dataclass(slots=True)
class ReplayResult:
    """Everything measured in a replay.

    Parameters
    ----------
    loads_over_time : list of tuple
        Time and loads in transit at each start.
    best_tokens, generated_tokens : float
        Tokens that full batches would have generated, and those generated.
    lowest_bucket_by_organisation : dict
        Lowest level of a bucket charged with settled costs; negative if an
        organisation received more than its rate and burst.
    cleaned_adapter_request_ids : set of str
        Requests whose adapter was resident at a server that is being cleaned.
    """

    policy: str
    trace: str
    seed: int
    records_by_id: dict[str, RequestRecord] = field(default_factory=dict)
    loads_over_time: list[tuple[float, int]] = field(default_factory=list)
    best_tokens: float = 0.0
    generated_tokens: float = 0.0
    lowest_bucket_by_organisation: dict[str, float] = field(default_factory=dict)
    cleaned_adapter_request_ids: set[str] = field(default_factory=set)
    cut_off: int = 0
    wrong_adapter: int = 0
    evicted_in_use: int = 0
    quota_messages: int = 0
