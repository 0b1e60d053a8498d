"""Workers of services that the configuration in force does not name."""

from collections.abc import Collection

from .messages import WorkerListed


class UnservedWorkers:
    """Entries that are set aside until a configuration names their service.

    No queue leads there, and such an entry may be another writer's: what
    listens at its address need not be a worker.
    """

    def __init__(self) -> None:
        """Start without a configuration: until one is known all entries are taken."""
        self._services: Collection[str] | None = None
        self._listed_by_name: dict[str, WorkerListed] = {}

    def set_aside(self, message: WorkerListed) -> bool:
        """Set an entry aside, or tell that it is to be taken in."""
        name = message.incarnation.name
        if self._services is None or message.profile.service in self._services:
            self.forget(name)
            return False
        self._listed_by_name[name] = message
        return True

    def forget(self, name: str) -> None:
        """Forget the entry under a name, which is gone."""
        self._listed_by_name.pop(name, None)

    def set_services(self, services: Collection[str]) -> list[WorkerListed]:
        """Take in the services of a new configuration; return the entries to be taken in now."""
        self._services = services
        served = [message for message in self._listed_by_name.values() if message.profile.service in services]
        for message in served:
            self.forget(message.incarnation.name)
        return served
