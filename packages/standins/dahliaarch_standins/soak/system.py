"""A deployment with proxies before each instance, each worker and, for each instance, the store."""

import itertools
import math
import signal
import time
from collections.abc import Generator, Sequence
from contextlib import contextmanager
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from dahliaarch_platform.settings import Address
from dahliaarch_platform.store import CONFIGURATION_KEY

from ..deployment import Deployment
from ..hosts import instance_host, proxy_host
from ..platform import StoreStandIn, WorkerStandIn
from ..proxy import FaultProxy, HostLinks, PeerProxy, SlowLink
from .contact import DisturbanceTracker
from .settings import SLOW_BYTES_PER_S, SoakSettings
from .versions import Operator

# How often daemons are looked at, in seconds.
_WATCH_INTERVAL_S = 0.1
# A lag of this process that counts as a slow store, in seconds.
_LAG_THRESHOLD_S = 0.2
# How long an instance that is to stop may take to say that it is ready, in seconds.
_READY_TIMEOUT_S = 0.1
# The daemon, its messages led through the proxies.
_PROGRAM = 'dahliaarch_standins.daemon'


class System:
    """The real daemons, what they speak with, and what may go wrong between them.

    Parameters
    ----------
    settings : SoakSettings
        Sizes, and which protections are on.
    folder : Path
        Where settings files and logs go.
    """

    def __init__(self, settings: SoakSettings, folder: Path) -> None:
        """Prepare; nothing runs yet."""
        self.deployment = Deployment(folder, settings.instances, settings.workers)
        self.deployment.program = _PROGRAM
        self.deployment.host_by_name = {
            name: instance_host(number) for number, name in enumerate(self.deployment.names)
        }
        slow_names = self.deployment.names[: settings.slow_links]
        self.disturbances = DisturbanceTracker(self.deployment.names, slow_names)
        self.operator = Operator(self.deployment, settings.seed)
        self.deployment.store.checks_conditions = settings.without != 'conditions'
        self.deployment.store.muted_key = CONFIGURATION_KEY if settings.without == 'updates' else ''
        for worker in self.deployment.workers[: settings.keeping_ids]:
            worker.keeps_id = True
        for worker in self.deployment.workers:
            worker.checks_fences = settings.without != 'fences'
            worker.checks_run_numbers = settings.without != 'run numbers'
        self.store_proxy_by_name: dict[str, FaultProxy] = {}
        self.peer_proxy_by_name: dict[str, PeerProxy] = {}
        self.worker_proxies: list[FaultProxy] = []
        self.rate_by_name = dict.fromkeys(self.deployment.names, math.inf)
        self.rate_by_name.update(dict.fromkeys(slow_names, SLOW_BYTES_PER_S))
        self._links_by_host = {
            self.deployment.host_by_name[name]: HostLinks(SlowLink(rate), SlowLink(rate))
            for name, rate in self.rate_by_name.items()
        }
        # Instances whose daemons ended by themselves.
        self.unexpected_exits: list[str] = []
        # How often this process lagged.
        self.lags = 0
        self._incarnations = itertools.count()
        self._restarting: set[str] = set()

    @property
    def store(self) -> StoreStandIn:
        """The store."""
        return self.deployment.store

    @property
    def proxies(self) -> list[FaultProxy]:
        """Every proxy."""
        return [*self.store_proxy_by_name.values(), *self.peer_proxy_by_name.values(), *self.worker_proxies]

    def links(self, name: str) -> HostLinks:
        """Return what carries all that an instance exchanges with the store and its peers."""
        return self._links_by_host[self.deployment.host_by_name[name]]

    async def start(self, tasks: TaskGroup) -> None:
        """Start everything and wait until every instance is ready."""
        address = await self.deployment.start_platform(tasks)
        self.operator.write()
        for name in self.deployment.names:
            await self._start_proxies(name, address, tasks)
        for worker in self.deployment.workers:
            while not worker.address.port:
                await anyio.sleep(0.01)
            proxy = FaultProxy(worker.address)
            worker.published_address = await proxy.listen(tasks)
            worker.publish()
            self.worker_proxies.append(proxy)
        with self.disturbing():
            await self.deployment.start_instances()

    async def _start_proxies(self, name: str, store: Address, tasks: TaskGroup) -> None:
        """Place a proxy before the store for an instance, and one before the instance for its peers."""
        links = self.links(name)
        near_store = FaultProxy(store, requests_over=links.outgoing, answers_over=links.incoming)
        self.deployment.store_address_by_name[name] = await near_store.listen(tasks)
        self.store_proxy_by_name[name] = near_store
        target = self.deployment.peer_address(name)
        before = PeerProxy(target, self._links_by_host)
        await before.listen(tasks, target._replace(host=proxy_host(target.host)))
        self.peer_proxy_by_name[name] = before

    @contextmanager
    def disturbing(self, *names: str) -> Generator[None, None, None]:
        """Count some instances, or all, as disturbed meanwhile."""
        disturbed = names or self.deployment.names
        self.disturbances.begin(disturbed)
        try:
            yield
        finally:
            self.disturbances.end(disturbed, time.monotonic())

    async def restart(self, names: Sequence[str], after_s: float) -> None:
        """Kill instances and start them again; those that another fault holds are left out."""
        available = [name for name in names if name not in self._restarting]
        if not available:
            return
        self._restarting.update(available)
        with self.disturbing(*available):
            for name in available:
                if name in self.deployment.running_names:
                    self.deployment.kill(name)
            await anyio.sleep(after_s)
            for name in available:
                self.deployment.launch(name)
        self._restarting.difference_update(available)

    async def stop_and_start(self, name: str) -> None:
        """Ask an instance to stop; start it again once it has."""
        if name in self._restarting or name not in self.deployment.running_names:
            return
        self._restarting.add(name)
        with self.disturbing(name):
            self.deployment.resume(name)
            was_ready = await self._is_ready(name)
            self.deployment.terminate(name)
            status = await self.deployment.wait_stopped(name)
            self.deployment.launch(name)
        self._restarting.discard(name)
        # One that has hardly been started knows of no signals yet.
        if status and (was_ready or status != -signal.SIGTERM):
            self.unexpected_exits.append(f'{name}, asked to stop: status {status}')

    async def _is_ready(self, name: str) -> bool:
        with anyio.move_on_after(_READY_TIMEOUT_S):
            await self.deployment.wait_ready(name)
            return True
        return False

    def signal_settings(self) -> None:
        """Send SIGHUP to every instance."""
        for name in self.deployment.running_names:
            self.deployment.signal(name, signal.SIGHUP)

    def crash_worker(self, worker: WorkerStandIn) -> None:
        """Let a worker come back as another incarnation."""
        worker.crash(f'{worker.worker_id.split("-")[0]}-{next(self._incarnations)}')

    async def watch_processes(self) -> None:
        """Start daemons again that end by themselves, and note it, until cancelled."""
        while True:
            await anyio.sleep(_WATCH_INTERVAL_S)
            for name in self.deployment.ended_by_themselves(self._restarting):
                self.unexpected_exits.append(name)
                with self.disturbing(name):
                    self.deployment.launch(name)

    async def watch_lag(self) -> None:
        """Count a lag of this process as a slow store, until cancelled."""
        while True:
            begun_s = time.monotonic()
            await anyio.sleep(_WATCH_INTERVAL_S)
            if time.monotonic() - begun_s > _WATCH_INTERVAL_S + _LAG_THRESHOLD_S:
                self.lags += 1
                with self.disturbing():
                    await anyio.sleep(0)

    async def wait_for_step(self, step: str, *, is_done: bool, wait_s: float) -> bool:
        """Wait until a step reaches the store or a worker; false when none does."""
        came = anyio.Event()

        def observe(found: str, done: bool) -> None:
            if found == step and done is is_done:
                came.set()

        servers = [self.store.faults, *(worker.faults for worker in self.deployment.workers)]
        for faults in servers:
            faults.observer = observe
        with anyio.move_on_after(wait_s):
            await came.wait()
        for faults in servers:
            faults.observer = None
        return came.is_set()

    def close(self) -> None:
        """End every daemon."""
        self.deployment.close()
