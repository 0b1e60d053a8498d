"""Workers of services that the current configuration does not contain."""

from collections.abc import Collection

from .messages import WorkerListed


class UnservedWorkers:
    """Worker entries that are ignored until a configuration contains their service.

    No queue uses such a service, and the entry may have been written by something else,
    so the process that listens at its address is not necessarily a worker.
    """

    def __init__(self) -> None:
        """Start without a configuration; until one is known, all entries are accepted."""
        self._services: Collection[str] | None = None
        self._listed_by_name: dict[str, WorkerListed] = {}

    def set_aside(self, message: WorkerListed) -> bool:
        """Set an entry aside if its service is not configured; return whether it was set aside."""
        name = message.incarnation.name
        if self._services is None or message.profile.service in self._services:
            self.forget(name)
            return False
        self._listed_by_name[name] = message
        return True

    def forget(self, name: str) -> None:
        """Discard the entry under a name, if any."""
        self._listed_by_name.pop(name, None)

    def set_services(self, services: Collection[str]) -> list[WorkerListed]:
        """Apply the services of a new configuration; return the set-aside entries that are now served."""
        self._services = services
        served = [message for message in self._listed_by_name.values() if message.profile.service in services]
        for message in served:
            self.forget(message.incarnation.name)
        return served
