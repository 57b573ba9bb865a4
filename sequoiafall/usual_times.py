"""How long requests have taken of late, from a gateway's own measurements."""

from __future__ import annotations

# Weights of the newest sample in the mean and in its mean deviation, and deviations
# above the mean that nearly all samples stay below; the values of TCP's
# retransmission timer (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0
# Shortest times assumed: of a plain call, of a stream up to its first event (including
# an adapter load), and of each output token (two steps of a full batch).
MIN_CALL_TIME_S = 1.0
MIN_STREAM_START_TIME_S = 1.2
MIN_TIME_PER_TOKEN_S = 0.02
# Assumed output length if the request does not name one.
DEFAULT_OUTPUT_TOKENS = 100


class _Bound:
    """Value that nearly all recent samples stay below."""

    __slots__ = ("_deviation", "_mean")

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0

    def record(self, sample: float) -> None:
        if self._mean is None:
            self._mean, self._deviation = sample, sample / 2.0
            return
        error = sample - self._mean
        self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)
        self._mean += MEAN_WEIGHT * error

    def value(self, least: float) -> float:
        """Return the bound, or a least value that it does not fall below."""
        if self._mean is None:
            return least
        return max(least, self._mean + DEVIATIONS * self._deviation)


class _ServiceTimes:
    __slots__ = ("call", "first_event", "token")

    def __init__(self) -> None:
        self.call = _Bound()
        self.first_event = _Bound()
        self.token = _Bound()


class UsualTimes:
    """Times of the complete responses of each service.

    There is one entry a service of the configuration.
    """

    __slots__ = ("_by_service",)

    def __init__(self) -> None:
        self._by_service: dict[str, _ServiceTimes] = {}

    def record_call(self, service: str, seconds: float) -> None:
        """Record the time of a plain call."""
        self._times(service).call.record(seconds)

    def record_stream(
        self, service: str, first_event_s: float, events_s: float, tokens: int | None
    ) -> None:
        """Record the times of a stream to its first event, and from there to its end.

        Parameters
        ----------
        tokens : int or None
            Output tokens that the request named.
        """
        times = self._times(service)
        times.first_event.record(first_event_s)
        times.token.record(events_s / max(1, _output_tokens(tokens)))

    def call_s(self, service: str) -> float:
        """Return the seconds that nearly all plain calls take."""
        return self._times(service).call.value(MIN_CALL_TIME_S)

    def stream_s(self, service: str, tokens: int | None) -> float:
        """Return the seconds that nearly all streams of a length take."""
        times = self._times(service)
        start_s = times.first_event.value(MIN_STREAM_START_TIME_S)
        return start_s + _output_tokens(tokens) * times.token.value(
            MIN_TIME_PER_TOKEN_S
        )

    def _times(self, service: str) -> _ServiceTimes:
        times = self._by_service.get(service)
        if times is None:
            times = self._by_service[service] = _ServiceTimes()
        return times


def _output_tokens(tokens: int | None) -> int:
    return DEFAULT_OUTPUT_TOKENS if tokens is None else tokens
