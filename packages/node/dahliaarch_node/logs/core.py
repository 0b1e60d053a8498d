"""One JSON object a line, through absl's logger and a bounded queue."""

import logging as standard_logging
import os
import sys
import time
from collections import deque
from typing import Any

import anyio
import msgspec
from absl import logging

# Lines that may wait to be written; more are dropped and counted.
_MAX_QUEUED_LINES = 2_000
# How often waiting lines are written, in seconds.
_FLUSH_EVERY_S = 0.25
# Bytes written in one go: a pipe takes this much whole or not at all, so that a
# reader never sees half a line (PIPE_BUF of the system).
_CHUNK_BYTES = 4_096


class LogWriter(standard_logging.Handler):
    """Keeps lines in memory and writes them without blocking.

    Parameters
    ----------
    instance : str
        Name of the instance, part of every line.
    """

    def __init__(self, instance: str) -> None:
        """Start with nothing to write."""
        super().__init__()
        self.dropped = 0
        self._instance = instance
        self._queued_lines: deque[bytes] = deque()
        self._unwritten = b''

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
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
        """Write what waits, again and again."""
        os.set_blocking(sys.stdout.fileno(), False)
        while True:
            await anyio.sleep(_FLUSH_EVERY_S)
            self.flush()

    def flush(self) -> None:
        """Write as much as standard output takes now."""
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
                # Nobody reads any more; there is no other place to say so.
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
    """Send JSON lines to standard output; return their writer, to be run."""
    writer = LogWriter(instance)
    logger = logging.get_absl_logger()
    logger.handlers = [writer]
    logger.propagate = False
    logging.set_verbosity(logging.INFO)
    return writer


def log_event(event: str, **fields: Any) -> None:
    """Write one line: what was decided or believed, and the inputs that decided it."""
    logging.get_absl_logger().info(event, extra={'fields': fields})
