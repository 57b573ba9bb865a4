"""Structured logging: one line of key=value pairs per event."""

import asyncio
import atexit
import functools
import json
import os
import re
import select
import sys
import time
import traceback
from logging import INFO, WARNING
from pathlib import Path
from typing import TextIO

from absl import flags, logging

_NAMES_BY_LEVEL = {INFO: "info", WARNING: "warning"}

# Lines buffered for a slow reader of the output; further lines are dropped.
MAX_BUFFERED_BYTES = 256 * 1024
# Delay before the next write while the reader is behind.
RETRY_WRITE_S = 0.02
# Time for a slow reader to take the last lines when the process ends.
LAST_LINES_S = 0.2
# Frames of a trace that are logged.
MAX_TRACE_FRAMES = 4


class LineBuffer:
    """Writes lines to a file descriptor without blocking on its reader.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is made non-blocking.

    Attributes
    ----------
    dropped : int
        Number of lines that were dropped because the buffer was full.
    """

    __slots__ = (
        "_buffered_bytes",
        "_descriptor",
        "_is_scheduled",
        "_last_line",
        "_lines",
        "_repeat_count",
        "dropped",
    )

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._lines: list[bytes] = []
        self._buffered_bytes = 0
        self._is_scheduled = False
        self._last_line = ""
        self._repeat_count = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write_line(self, prefix: str, line: str) -> None:
        """Add a line; repetitions of the last line are only counted."""
        if line == self._last_line:
            self._repeat_count += 1
            return
        if self._repeat_count:
            text = format_event("repeated", count=self._repeat_count)
            self._repeat_count = 0
            self._add(f"{prefix} {text}\n")
        self._last_line = line
        self._add(f"{prefix} {line}\n")

    def _add(self, text: str) -> None:
        data = text.encode()
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._lines.append(data)
        self._buffered_bytes += len(data)
        if self._is_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._is_scheduled = True
        loop.call_soon(self._flush_later, loop)

    def _flush_later(self, loop: asyncio.AbstractEventLoop) -> None:
        self._is_scheduled = False
        self.flush()
        if self._lines and not loop.is_closed():
            self._is_scheduled = True
            loop.call_later(RETRY_WRITE_S, self._flush_later, loop)

    def flush(self) -> None:
        """Write as much as the descriptor accepts now."""
        if not self._lines:
            return
        data = b"".join(self._lines)
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The output is closed, so the error cannot be logged either.
            written = len(data)
        rest = data[written:]
        self._lines = [rest] if rest else []
        self._buffered_bytes = len(rest)

    def flush_all(self, timeout_s: float) -> None:
        """Write all lines as the process ends, waiting for the reader if necessary.

        Parameters
        ----------
        timeout_s : float
            Longest wait for the reader in seconds. What it has not taken by then is
            lost.
        """
        until = time.monotonic() + timeout_s
        self.flush()
        while self._lines and (left_s := until - time.monotonic()) > 0.0:
            select.select([], [self._descriptor], [], left_s)
            self.flush()


# Where lines are written; None until `configure_logging`, as in the tests.
_output: TextIO | LineBuffer | None = None

_is_safe = re.compile(r"[A-Za-z0-9_.:/@,+-]+").fullmatch


def _quote(value: object) -> str:
    if type(value) is int:
        return str(value)
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if _is_safe(text):
        return text
    return json.dumps(text, ensure_ascii=True)


def format_event(event: str, **fields: object) -> str:
    """Format an event as space-separated ``key=value`` pairs.

    Parameters
    ----------
    event : str
        Name of the event.
    **fields : object
        Values; those with unsafe characters are quoted as JSON strings.

    Returns
    -------
    str
        One line without a line break.
    """
    line = f"event={_quote(event)}"
    for key, value in fields.items():
        line += f" {key}={_quote(value)}"
    return line


def log_event(event: str, **fields: object) -> None:
    """Log an event at level INFO."""
    _emit(INFO, format_event(event, **fields))


def log_warning(event: str, **fields: object) -> None:
    """Log an event at level WARNING."""
    _emit(WARNING, format_event(event, **fields))


def innermost_frames(error: BaseException | None) -> str:
    """Return files and lines of the innermost frames of an error's trace."""
    trace = traceback.extract_tb(error.__traceback__) if error else []
    frames = [f"{Path(row.filename).name}:{row.lineno}" for row in trace]
    return ",".join(frames[-MAX_TRACE_FRAMES:])


def _emit(level: int, line: str) -> None:
    logger = logging.get_absl_logger()
    if not logger.isEnabledFor(level):
        return
    if _output is None:
        # absl's functions walk the stack to find the caller, which takes half the
        # time of a line and is not shown in our lines.
        logger.handle(logger.makeRecord(logger.name, level, "", 0, line, (), None))
        return
    # A log record that passes through the handlers takes three times as long as
    # this write, and a gateway logs five lines for each request.
    now = time.time()
    second = int(now)
    if isinstance(_output, LineBuffer):
        timestamp = f"{_format_second(second)}.{int((now - second) * 1000):03d}Z"
        _output.write_line(f"time={timestamp} level={_NAMES_BY_LEVEL[level]}", line)
        return
    # As in the handlers of `logging`, a full or closed output raises no error.
    try:  # noqa: SIM105 - the context manager is slower.
        _output.write(
            f"time={_format_second(second)}.{int((now - second) * 1000):03d}Z "
            f"level={_NAMES_BY_LEVEL[level]} {line}\n"
        )
    except (OSError, ValueError):
        pass


@functools.lru_cache(maxsize=2)
def _format_second(second: int) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))


class _LibraryFormatter(logging.PythonFormatter):
    def format(self, record):  # type: ignore[no-untyped-def]
        timestamp = _format_second(int(record.created))
        level = record.levelname.lower()
        text = record.getMessage()
        if record.exc_info:
            text = f"{text} {self.formatException(record.exc_info)}"
        text = format_event("library_message", logger=record.name, detail=text)
        return f"time={timestamp}.{int(record.msecs):03d}Z level={level} {text}"


def dropped_line_count() -> int:
    """Return the number of lines dropped because of a slow reader of the output."""
    return _output.dropped if isinstance(_output, LineBuffer) else 0


def configure_logging(to_standard_output: bool = False) -> None:
    """Log to standard error, or to standard output without blocking.

    Messages of libraries are logged from level WARNING, as the event
    ``library_message``.
    """
    global _output
    # Settings come from `settings`; absl must not require its own flags.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    handler.setFormatter(_LibraryFormatter())
    handler.python_handler.stream = sys.stderr
    handler.setLevel(WARNING)
    if to_standard_output:
        _output = LineBuffer(sys.stdout.fileno())
        atexit.register(_output.flush_all, LAST_LINES_S)
        return
    _output = sys.stderr
