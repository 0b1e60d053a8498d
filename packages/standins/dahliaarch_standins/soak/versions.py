"""Writes small and large versions of the configuration, as operators do."""

import random
import time
from collections.abc import Iterable
from typing import NamedTuple

from ..deployment import Deployment
from ..deployment.core import API_KEY, HOST, PREFIX_BY_QUEUE, queue_row

OTHER_KEY = 'key-that-comes-and-goes'
# Maximum number of routes in addition to those of the deployment: 165 bytes each, so
# that the document stays below the store's limit of a megabyte.
_MAX_ADDED_ROUTES = 5_500
_PRIORITY = 1

# Statuses of requests that are answered at once, depending on their route and key.
MALFORMED = 400
NO_ACCESS = 401
NO_ROUTE = 404


class Probe(NamedTuple):
    """A request whose answer shows which version an instance uses.

    It names no job, so an instance answers it without calling any peer.

    Parameters
    ----------
    route : str
        Requested route.
    key : str
        API key of the request.
    """

    route: str
    key: str = API_KEY

    @property
    def path(self) -> str:
        """Path of the request."""
        return f'/{self.route}/no-job'

    @property
    def host(self) -> str:
        """Host of the request."""
        return _host(self.route)


class Version(NamedTuple):
    """The variable parts of a version of the configuration.

    Parameters
    ----------
    number : int
        Number of the version.
    keys : frozenset of str
        Valid API keys.
    routes : frozenset of str
        Existing routes.
    acknowledged_s : float
        Time at which its write was acknowledged.
    """

    number: int
    keys: frozenset[str]
    routes: frozenset[str]
    acknowledged_s: float

    def expected(self, probe: Probe) -> int:
        """Return the status of the answer to a probe under this version."""
        if probe.route not in self.routes:
            return NO_ROUTE
        return MALFORMED if probe.key in self.keys else NO_ACCESS


def marker_route(number: int) -> str:
    """Return the route that exists only in the version with the given number."""
    return f'only-{number}'


class Operator:
    """Writes versions of the configuration and records the content of each.

    Parameters
    ----------
    deployment : Deployment
        Deployment that is configured.
    seed : int
        Seed of the names of routes, which are random so that they compress poorly.

    Attributes
    ----------
    versions : list of Version
        All versions, sorted by number.
    has_other_key : bool
        Whether the second key is valid.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        """Start without a version."""
        self.versions: list[Version] = []
        self.has_other_key = False
        self._deployment = deployment
        self._names = random.Random(f'{seed} routes')
        self._routes: list[str] = []

    def change_keys(self) -> None:
        """Add a second key to the account, or remove it."""
        self.has_other_key = not self.has_other_key
        self.write()

    def add_routes(self, count: int) -> None:
        """Add a number of routes; the oldest routes above the limit are removed."""
        self._routes.extend(f'r{self._names.getrandbits(36):09x}' for _ in range(count))
        del self._routes[:-_MAX_ADDED_ROUTES]
        self.write()

    def write(self) -> None:
        """Write a version, which includes its own marker route."""
        own_route = marker_route(self._deployment.version + 1)
        routes = [*self._routes, own_route]
        keys = (API_KEY, OTHER_KEY) if self.has_other_key else (API_KEY,)
        self._deployment.configure(keys, extra_queues=_rows(routes))
        self.versions.append(
            Version(
                self._deployment.version,
                frozenset(keys),
                frozenset((*PREFIX_BY_QUEUE, *routes)),
                time.monotonic(),
            )
        )

    def draw_probes(self, rng: random.Random, due: Version) -> list[Probe]:
        """Return probes that distinguish the due version from older and newer ones."""
        routes = [marker_route(due.number), marker_route(due.number - 1)]
        if self._routes:
            # The newest route and a random one.
            routes.extend((self._routes[-1], rng.choice(self._routes)))
        return [Probe('urgent', OTHER_KEY), *(Probe(route) for route in routes)]


def _rows(routes: Iterable[str]) -> list[dict[str, object]]:
    return [queue_row(route, f'/{route}/', _PRIORITY, _host(route)) for route in routes]


def _host(route: str) -> str:
    return HOST if route in PREFIX_BY_QUEUE else f'{route}.example'
