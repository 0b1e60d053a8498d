"""Exception hierarchy of the project."""


class DahliaarchError(Exception):
    """Base class of every exception that the project raises."""


class RegistryError(DahliaarchError):
    """A plug-in is unknown, or its name is taken."""


class PolicyError(DahliaarchError):
    """A policy program does not compile or yields the wrong type."""


class SettingsError(DahliaarchError):
    """A settings document is not valid.

    Parameters
    ----------
    where : str
        Key at fault.
    why : str
        What is wrong with it.
    """

    def __init__(self, location: str, reason: str) -> None:
        """Keep both parts and build the message."""
        self.location = location
        self.reason = reason
        super().__init__(f'{location}: {reason}')


class JobRejectedError(SettingsError):
    """A submitted job is malformed or could never run."""


class ProtocolError(SettingsError):
    """A message from outside does not have the published shape."""
