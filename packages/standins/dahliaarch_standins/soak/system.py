"""A deployment with proxies in front of each instance, each worker and, for each instance, the store."""

import itertools
import math
import signal
import subprocess  # noqa: S404 - the daemons are real processes
import time
from collections.abc import Collection, Generator, Sequence
from contextlib import contextmanager
from pathlib import Path

import anyio
from anyio.abc import TaskGroup

from dahliaarch_platform.operators import CONFIGURATION_KEY
from dahliaarch_platform.settings import Address

from ..deployment import Deployment
from ..hosts import instance_host, proxy_host
from ..platform import StoreStandIn, WorkerStandIn
from ..proxy import FaultProxy, HostLinks, PeerProxy, SlowLink
from .contact import DisturbanceTracker
from .evacuations import EvacuationRequests
from .settings import SLOW_BYTES_PER_S, SoakSettings
from .versions import Operator

# Interval between two checks for exited daemons and for lag, in seconds.
_WATCH_INTERVAL_S = 0.1
# Lag of this process above which it counts as a slow store, in seconds.
_LAG_THRESHOLD_S = 0.2
# Time for an instance to show that it is ready before it is terminated, in seconds.
_READY_TIMEOUT_S = 0.1
# Interval between the signals to an instance that is stopping, in seconds.
_SIGNAL_INTERVAL_S = 0.1
# Variant of the daemon that sends its messages through the proxies.
_PROGRAM = 'dahliaarch_standins.daemon'


class System:
    """Real daemons with stand-ins of their environment, connected through proxies that inject faults.

    Parameters
    ----------
    settings : SoakSettings
        Sizes, and the protection to disable.
    folder : Path
        Folder for settings files and logs.
    """

    def __init__(self, settings: SoakSettings, folder: Path) -> None:
        """Set up the deployment without starting anything."""
        self.deployment = Deployment(folder, settings.instances, settings.workers)
        self.deployment.program = _PROGRAM
        self.deployment.host_by_name = {
            name: instance_host(number) for number, name in enumerate(self.deployment.names)
        }
        slow_names = self.deployment.names[: settings.slow_links]
        self.disturbances = DisturbanceTracker(self.deployment.names, slow_names)
        self.operator = Operator(self.deployment, settings.seed)
        self.evacuations = EvacuationRequests(self.deployment.store)
        self.deployment.store.checks_conditions = settings.without != 'conditions'
        self.deployment.store.muted_prefix = CONFIGURATION_KEY if settings.without == 'updates' else ''
        for worker in self.deployment.workers[: settings.keeping_ids]:
            worker.keeps_id_after_crash = True
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
        # Instances whose daemons exited by themselves or failed to stop cleanly.
        self.unexpected_exits: list[str] = []
        # Number of times that this process lagged.
        self.lags = 0
        self._incarnations = itertools.count()
        self._restarting: set[str] = set()

    @property
    def store(self) -> StoreStandIn:
        """Stand-in of the store."""
        return self.deployment.store

    @property
    def proxies(self) -> list[FaultProxy]:
        """All proxies."""
        return [*self.store_proxy_by_name.values(), *self.peer_proxy_by_name.values(), *self.worker_proxies]

    def links(self, name: str) -> HostLinks:
        """Return the links that carry all traffic of an instance with the store and its peers."""
        return self._links_by_host[self.deployment.host_by_name[name]]

    async def start(self, tasks: TaskGroup) -> None:
        """Start the platform, the proxies and the instances, and wait until every instance is ready."""
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
        """Start a proxy from an instance to the store, and one from its peers to the instance."""
        links = self.links(name)
        store_proxy = FaultProxy(store, request_link=links.outgoing, answer_link=links.incoming)
        self.deployment.store_address_by_name[name] = await store_proxy.listen(tasks)
        self.store_proxy_by_name[name] = store_proxy
        target = self.deployment.peer_address(name)
        before = PeerProxy(target, self._links_by_host)
        await before.listen(tasks, target._replace(host=proxy_host(target.host)))
        self.peer_proxy_by_name[name] = before

    @contextmanager
    def disturbing(self, *names: str) -> Generator[None, None, None]:
        """Record a disturbance of the given instances, or of all, while the context is open."""
        disturbed = names or self.deployment.names
        self.disturbances.begin(disturbed)
        try:
            yield
        finally:
            self.disturbances.end(disturbed, time.monotonic())

    async def restart(self, names: Sequence[str], after_s: float) -> None:
        """Kill and restart instances, except those that another fault is restarting."""
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

    async def stop_and_start(self, name: str, signals: Sequence[int] = ()) -> None:
        """Terminate an instance, send it signals in turn until it has stopped, and restart it."""
        if name in self._restarting or name not in self.deployment.running_names:
            return
        self._restarting.add(name)
        with self.disturbing(name):
            self.deployment.resume(name)
            was_ready = await self._is_ready(name)
            process = self.deployment.process(name)
            self.deployment.terminate(name)
            async with anyio.create_task_group() as tasks:
                if was_ready and process is not None:
                    tasks.start_soon(_send_repeatedly, process, signals)
                status = await self.deployment.wait_stopped(name)
                tasks.cancel_scope.cancel()
            self.deployment.launch(name)
        self._restarting.discard(name)
        # An instance that is still starting has not installed its signal handlers.
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
        """Crash a worker, which returns as a new incarnation."""
        worker.crash(f'{worker.worker_id.split("-")[0]}-{next(self._incarnations)}')

    async def cut_off(self, side: Collection[str], for_s: float) -> None:
        """Drop all traffic between some instances and the store, and between them and the other instances."""
        host_by_name = self.deployment.host_by_name
        others = set(self.deployment.names).difference(side)
        for name, proxy in self.peer_proxy_by_name.items():
            proxy.cut_hosts = frozenset(host_by_name[each] for each in (others if name in side else side))
        for name in side:
            self.store_proxy_by_name[name].drops_all = True
        await anyio.sleep(for_s)
        for name in side:
            self.store_proxy_by_name[name].drops_all = False
            await self.store_proxy_by_name[name].reset()
        for proxy in self.peer_proxy_by_name.values():
            proxy.cut_hosts = frozenset()
            await proxy.reset()

    async def watch_processes(self) -> None:
        """Record and restart daemons that exit by themselves, until cancelled."""
        while True:
            await anyio.sleep(_WATCH_INTERVAL_S)
            for name in self.deployment.pop_exited(self._restarting):
                self.unexpected_exits.append(name)
                with self.disturbing(name):
                    self.deployment.launch(name)

    async def watch_lag(self) -> None:
        """Record lags of this process as disturbances of all instances, until cancelled."""
        while True:
            begun_s = time.monotonic()
            await anyio.sleep(_WATCH_INTERVAL_S)
            if time.monotonic() - begun_s > _WATCH_INTERVAL_S + _LAG_THRESHOLD_S:
                self.lags += 1
                with self.disturbing():
                    await anyio.sleep(0)

    async def wait_for_step(self, step: str, *, is_done: bool, wait_s: float) -> bool:
        """Wait until the store or a worker receives or completes a step; return whether it did in time."""
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
        """Stop all daemons."""
        self.deployment.close()


async def _send_repeatedly(process: subprocess.Popen[bytes], signals: Sequence[int]) -> None:
    for number in itertools.cycle(signals):
        await anyio.sleep(_SIGNAL_INTERVAL_S)
        process.send_signal(number)
