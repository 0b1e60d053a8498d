"""JSON Lines handler for absl's logger with a bounded queue."""

import logging as standard_logging
import os
import sys
import time
from collections import deque
from typing import Any

import anyio
import msgspec
from absl import logging

# Capacity of the queue in lines; further lines are dropped and counted.
_MAX_QUEUED_LINES = 2_000
# Interval between flushes of the queue, in seconds.
_FLUSH_EVERY_S = 0.25
# Maximum size of one write in bytes, PIPE_BUF of the system: writes to a pipe up to this
# size are atomic, so that a reader never sees part of a line.
_CHUNK_BYTES = 4_096


class LogWriter(standard_logging.Handler):
    """Queues lines in memory and writes them without blocking.

    Parameters
    ----------
    instance : str
        Name of the instance, included in every line.
    """

    def __init__(self, instance: str) -> None:
        """Create an empty queue."""
        super().__init__()
        self.dropped = 0
        self._instance = instance
        self._queued_lines: deque[bytes] = deque()
        self._unwritten = b''

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Queue a line, or count it as dropped if the queue is full."""
        if len(self._queued_lines) >= _MAX_QUEUED_LINES:
            self.dropped += 1
            return
        line: dict[str, Any] = {
            'at': round(record.created, 3),
            'level': record.levelname.lower(),
            'instance': self._instance,
            'event': record.getMessage(),
        }
        line.update(getattr(record, 'fields', {}))
        if record.exc_info:
            line['trace'] = self.format(record)
        self._queued_lines.append(msgspec.json.encode(line, enc_hook=str) + b'\n')

    async def run(self) -> None:
        """Flush the queue periodically until cancelled."""
        os.set_blocking(sys.stdout.fileno(), False)
        while True:
            await anyio.sleep(_FLUSH_EVERY_S)
            self.flush()

    def flush(self) -> None:
        """Write as many lines as standard output accepts without blocking."""
        if self.dropped and len(self._queued_lines) < _MAX_QUEUED_LINES:
            dropped, self.dropped = self.dropped, 0
            line = {'at': round(time.time(), 3), 'event': 'log_lines_dropped', 'count': dropped}
            self._queued_lines.append(msgspec.json.encode(line) + b'\n')
        while self._unwritten or self._queued_lines:
            if not self._unwritten:
                self._unwritten = self._next_chunk()
            try:
                written = os.write(sys.stdout.fileno(), self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, and there is no other place to report it.
                self._unwritten = b''
                self._queued_lines.clear()
                return
            self._unwritten = self._unwritten[written:]

    def _next_chunk(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._queued_lines and (not parts or size + len(self._queued_lines[0]) <= _CHUNK_BYTES):
            part = self._queued_lines.popleft()
            parts.append(part)
            size += len(part)
        return b''.join(parts)


def configure_logs(instance: str) -> LogWriter:
    """Log JSON lines to standard output; return the writer, whose `run` has to be started."""
    writer = LogWriter(instance)
    logger = logging.get_absl_logger()
    logger.handlers = [writer]
    logger.propagate = False
    logging.set_verbosity(logging.INFO)
    return writer


def log_event(event: str, **fields: Any) -> None:
    """Log an event: a decision or an observed state, with the inputs that led to it as fields."""
    logging.get_absl_logger().info(event, extra={'fields': fields})
