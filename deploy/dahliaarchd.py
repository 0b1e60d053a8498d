"""Starts the daemon from a checkout, without installing the workspace."""

import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_MEMBERS = ('packages/kernel', 'packages/node', 'platform')

sys.path[:0] = [str(_ROOT / member) for member in _MEMBERS]

from dahliaarch_node.main import main  # noqa: E402 - the path is set above

main()
