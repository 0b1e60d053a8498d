"""Entry point of the daemon."""

from .ignored_signals import ignore_signals

# The imports below take most of the startup time.
ignore_signals()

import os
import sys
from pathlib import Path

import anyio

from dahliaarch_kernel.errors import DahliaarchError
from dahliaarch_platform.settings import PATH_VARIABLE, read_settings

from .instance import Instance
from .logs import configure_logs
from .own_settings import read_own_settings
from .signals import ReceivedSignals

# Default path of the platform's settings file.
_DEFAULT_PATH = '/etc/dahliaarch/boot.conf'


def main() -> None:
    """Run one instance until it is told to stop."""
    received = ReceivedSignals()
    path = Path(os.environ.get(PATH_VARIABLE, _DEFAULT_PATH))
    try:
        settings = read_settings(path)
        own_settings = read_own_settings()
    except (DahliaarchError, OSError) as error:
        sys.exit(f'dahliaarchd: {error}')
    writer = configure_logs(settings.instance)
    instance = Instance(settings, path, own_settings, writer, received)
    anyio.run(instance.run)
    received.close()


if __name__ == '__main__':
    main()
