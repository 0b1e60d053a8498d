"""Signals that the process ignores from its first instruction on.

Imports nothing but `signal`: by default these signals terminate the process, also while it imports modules.
"""

import signal

# Mean nothing to the daemon, and would terminate it by default.
_IGNORED = (signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM, signal.SIGVTALRM, signal.SIGPROF, signal.SIGPIPE)


def ignore_signals() -> None:
    """Ignore SIGHUP, until `ReceivedSignals` handles it, and signals that mean nothing to the daemon.

    The settings are read after that anyway.
    """
    for number in (signal.SIGHUP, *_IGNORED):
        signal.signal(number, signal.SIG_IGN)
