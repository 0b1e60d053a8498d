"""Starts the daemon from a checkout, without installing the workspace."""

# SIGHUP asks for a reload of the settings; by default it would terminate the process until its handler is installed.
import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402 - SIGHUP is ignored first
from pathlib import Path  # noqa: E402 - SIGHUP is ignored first

_ROOT = Path(__file__).resolve().parent.parent
_MEMBERS = ('packages/kernel', 'packages/node', 'platform')

sys.path[:0] = [str(_ROOT / member) for member in _MEMBERS]

from dahliaarch_node.main import main  # noqa: E402 - the path is set above

main()
