"""The operators' part: versions of the configuration, small and large."""

import random
import time
from collections.abc import Iterable
from typing import NamedTuple

from ..deployment import Deployment
from ..deployment.core import HOST, KEY, PREFIX_BY_QUEUE, queue_row

OTHER_KEY = 'key-that-comes-and-goes'
# Most routes that a version adds to the project's own: 165 bytes each, so that
# the document stays below the megabyte that the store takes.
_MAX_ADDED_ROUTES = 5_500
_PRIORITY = 1

# How requests are answered that are handled at once, by their route and key.
MALFORMED = 400
NO_ACCESS = 401
NO_ROUTE = 404


class Probe(NamedTuple):
    """A request that shows which version its instance follows.

    It names no job, so that it is answered without a word to others.

    Parameters
    ----------
    route : str
        Route that it asks for.
    key : str
        Its key.
    """

    route: str
    key: str = KEY

    @property
    def path(self) -> str:
        """Its path."""
        return f'/{self.route}/no-job'

    @property
    def host(self) -> str:
        """Host that it asks for."""
        return _host(self.route)


class Version(NamedTuple):
    """What a version says, as far as it changes.

    Parameters
    ----------
    number : int
        Its number.
    keys : frozenset of str
        Keys in force.
    routes : frozenset of str
        Routes that there are.
    acknowledged_s : float
        When its write was acknowledged.
    """

    number: int
    keys: frozenset[str]
    routes: frozenset[str]
    acknowledged_s: float

    def expected(self, probe: Probe) -> int:
        """Return the status with which a probe is answered under this version."""
        if probe.route not in self.routes:
            return NO_ROUTE
        return MALFORMED if probe.key in self.keys else NO_ACCESS


def marker_route(number: int) -> str:
    """Return the route that only the version of a number has."""
    return f'only-{number}'


class Operator:
    """Writes versions and remembers what each says.

    Parameters
    ----------
    deployment : Deployment
        Whose configuration it is.
    seed : int
        Seed of the routes' names, which don't compress well.

    Attributes
    ----------
    versions : list of Version
        All, by number.
    has_other_key : bool
        Whether the other key is in force.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        """Start without a version."""
        self.versions: list[Version] = []
        self.has_other_key = False
        self._deployment = deployment
        self._names = random.Random(f'{seed} routes')
        self._routes: list[str] = []

    def change_keys(self) -> None:
        """Give the account another key beside its own, or take it away."""
        self.has_other_key = not self.has_other_key
        self.write()

    def add_routes(self, count: int) -> None:
        """Add so many routes; the oldest go when there are too many."""
        self._routes.extend(f'r{self._names.getrandbits(36):09x}' for _ in range(count))
        del self._routes[:-_MAX_ADDED_ROUTES]
        self.write()

    def write(self) -> None:
        """Write a version, which has a route of its own."""
        own_route = marker_route(self._deployment.version + 1)
        routes = [*self._routes, own_route]
        keys = (KEY, OTHER_KEY) if self.has_other_key else (KEY,)
        self._deployment.configure(keys, more_queues=_rows(routes))
        self.versions.append(
            Version(
                self._deployment.version,
                frozenset(keys),
                frozenset((*PREFIX_BY_QUEUE, *routes)),
                time.monotonic(),
            )
        )

    def draw_probes(self, choice: random.Random, due: Version) -> list[Probe]:
        """Return probes that tell a version that is due from older and newer ones."""
        routes = [marker_route(due.number), marker_route(due.number - 1)]
        if self._routes:
            # The newest, and one that is there for longer.
            routes.extend((self._routes[-1], choice.choice(self._routes)))
        return [Probe('urgent', OTHER_KEY), *(Probe(route) for route in routes)]


def _rows(routes: Iterable[str]) -> list[dict[str, object]]:
    return [queue_row(route, f'/{route}/', _PRIORITY, _host(route)) for route in routes]


def _host(route: str) -> str:
    return HOST if route in PREFIX_BY_QUEUE else f'{route}.example'
