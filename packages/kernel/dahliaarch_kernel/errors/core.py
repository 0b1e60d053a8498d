"""Exception hierarchy of the project."""


class DahliaarchError(Exception):
    """Base class of every exception that the project raises."""


class RegistryError(DahliaarchError):
    """A plug-in is not registered, or its name is already in use."""


class PolicyError(DahliaarchError):
    """A policy program does not compile, fails on sample input or returns the wrong type."""


class SettingsError(DahliaarchError):
    """A settings document is not valid.

    Parameters
    ----------
    location : str
        Key of the invalid setting, or name of the malformed message.
    reason : str
        Description of the error.
    """

    def __init__(self, location: str, reason: str) -> None:
        """Store the location and the reason, and format the message."""
        self.location = location
        self.reason = reason
        super().__init__(f'{location}: {reason}')


class JobRejectedError(SettingsError):
    """A submitted job is malformed or can never run."""


class ProtocolError(SettingsError):
    """A received message or stored record does not match its schema."""
