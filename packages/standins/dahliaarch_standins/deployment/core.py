"""Runs daemons as separate processes against stand-ins in the current process."""

import os
import secrets
import signal
import socket
import subprocess  # noqa: S404 - the daemons are real processes
import sys
from collections.abc import Collection, Iterable
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from dahliaarch_kernel.codec import decode
from dahliaarch_node import own_settings
from dahliaarch_node.records import Member, OWNER_KEY
from dahliaarch_platform.http import HttpClient, Reply, RequestNotSentError, RequestUnansweredError
from dahliaarch_platform.settings import Address, PATH_VARIABLE

from ..platform import PolicyStandIn, StoreStandIn, WorkerStandIn
from ..platform.policy import DECISION_DURATION_S, TICKET_VALIDITY_S

API_KEY = 'operator-made-key'
HOST = '127.0.0.1'
PREFIX_BY_QUEUE = {'urgent': '/urgent/', 'ordinary': '/ordinary/'}
ADVISED_QUEUE = 'ordinary'
# Failure domains, to which the workers belong in turn.
DOMAINS = ('z0', 'z1', 'z2')
_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 8.0


class Caller:
    """A client that sends its requests to the instances in round-robin order.

    Parameters
    ----------
    addresses : list of Address
        Addresses at which the instances accept requests.
    """

    def __init__(self, addresses: list[Address]) -> None:
        """Create a client; no connection is opened yet."""
        self._addresses = addresses
        self._http = HttpClient()
        self._request_count = 0

    async def call(
        self,
        method: str,
        path: str,
        body: dict[str, Any] | None = None,
        *,
        key: str = API_KEY,
        host: str = HOST,
        timeout_s: float = 3.0,
    ) -> Reply | None:
        """Send one request; return None if it could not be sent or was not answered."""
        self._request_count += 1
        address = self._addresses[self._request_count % len(self._addresses)]
        headers = {'Host': host, 'Authorization': f'Token {key}'}
        try:
            return await self._http.call(
                address,
                method,
                path,
                msgspec.json.encode(body) if body is not None else b'',
                timeout_s=timeout_s,
                headers=headers,
            )
        except (RequestNotSentError, RequestUnansweredError):
            return None

    async def submit(self, queue: str, steps: list[dict[str, Any]], payload: str, job_id: str = '') -> str:
        """Submit a job, retrying with the same id until it is accepted; return the id."""
        job_id = job_id or secrets.token_hex(8)
        while True:
            reply = await self.call('POST', PREFIX_BY_QUEUE[queue] + job_id, {'Spec': payload, 'Steps': steps})
            if reply is not None and reply.status == 200:
                return job_id
            await anyio.sleep(0.2)

    async def state(self, queue: str, job_id: str) -> str:
        """Return a job's state, the HTTP status if it is not 200, or an empty string if there is no answer."""
        reply = await self.call('GET', PREFIX_BY_QUEUE[queue] + job_id)
        if reply is None:
            return ''
        if reply.status != 200:
            return str(reply.status)
        return str(msgspec.json.decode(reply.body)['State'])

    async def wait_for(self, queue: str, job_id: str, state: str, timeout_s: float = 20.0) -> None:
        """Wait until a job reaches a state.

        Raises
        ------
        TimeoutError
            If the job does not reach the state within the timeout.
        """
        with anyio.fail_after(timeout_s):
            while await self.state(queue, job_id) != state:
                await anyio.sleep(0.05)


class Deployment:
    """A store and workers as stand-ins, and daemons as real processes.

    Parameters
    ----------
    folder : Path
        Directory for settings files and logs.
    instances, workers : int
        Number of instances and of workers.
    """

    def __init__(self, folder: Path, instances: int = 3, workers: int = 4) -> None:
        """Create the stand-ins and reserve ports; nothing is started yet."""
        self.store = StoreStandIn()
        self.workers = [WorkerStandIn(f'w{number}', 'svc', f'r{number // 8}', self.store) for number in range(workers)]
        for number, worker in enumerate(self.workers):
            worker.domain = DOMAINS[number % len(DOMAINS)]
        self.version = 0
        self._folder = folder
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        self._ports_by_name = {f'i{number}': free_ports(3) for number in range(instances)}
        self._store_address = Address('127.0.0.1', 0)
        # Placement policy service for `ADVISED_QUEUE`; None if no queue uses one.
        self.policy: PolicyStandIn | None = None
        self._policy_address: Address | None = None
        # Longest lease that workers grant, in seconds.
        self.max_hold_s = 3.0
        # Settings of the project's own, in TOML; those of the environment if empty.
        self.own_settings = ''
        # Store address per instance where it differs from the default, such as that of a proxy.
        self.store_address_by_name: dict[str, Address] = {}
        # Hosts on which instances listen for messages of their peers; `HOST` by default.
        self.host_by_name: dict[str, str] = {}
        # Module that is run as the daemon.
        self.program = 'dahliaarch_node.main'

    @property
    def names(self) -> list[str]:
        """Names of the instances."""
        return sorted(self._ports_by_name)

    @property
    def log_paths(self) -> list[Path]:
        """Paths of the instances' logs; each log covers all incarnations of its daemon."""
        return [self._log_path(name) for name in self.names]

    def _log_path(self, name: str) -> Path:
        return self._folder / f'{name}.log'

    def peer_address(self, name: str) -> Address:
        """Return the address on which an instance listens for messages of its peers."""
        return Address(self.host_by_name.get(name, HOST), self._ports_by_name[name][2])

    def caller(self, *names: str) -> Caller:
        """Return a client of the named instances, or of all if none is named."""
        chosen = names or tuple(self.names)
        return Caller([Address('127.0.0.1', self._ports_by_name[name][0]) for name in chosen])

    async def start(self, tasks: TaskGroup) -> None:
        """Start the stand-ins and the daemons; wait until every instance is ready."""
        await self.start_platform(tasks)
        await self.start_instances()

    async def start_platform(self, tasks: TaskGroup) -> Address:
        """Start the stand-ins and write the configuration; return the store's address."""
        self._store_address = await self.store.listen()
        if self.policy is not None:
            self._policy_address = await self.policy.listen()
        tasks.start_soon(self.store.run)
        for worker in self.workers:
            worker.max_hold_s = self.max_hold_s
            tasks.start_soon(worker.run)
        self.configure()
        return self._store_address

    async def start_instances(self) -> None:
        """Start the daemons; wait until all are ready and one owns the pool."""
        for name in self.names:
            self.launch(name)
        with anyio.fail_after(_START_TIMEOUT_S):
            for name in self.names:
                await self.wait_ready(name)
            await self.owner()

    def configure(
        self,
        keys: Iterable[str] = (API_KEY,),
        guaranteed: int = 16,
        extra_queues: Iterable[dict[str, Any]] = (),
    ) -> None:
        """Write the next version of the configuration to the store."""
        self.version += 1
        queues = [queue_row(name, prefix, priority) for priority, (name, prefix) in enumerate(PREFIX_BY_QUEUE.items())]
        if self.policy is not None:
            advice = {'DecisionMs': DECISION_DURATION_S * 1000, 'PerItemMs': 0, 'ValidMs': TICKET_VALIDITY_S * 1000}
            queues = [queue | {'Advice': advice} if queue['Name'] == ADVISED_QUEUE else queue for queue in queues]
        configuration = {
            'Version': self.version,
            'Routes': [*queues, *extra_queues],
            'Services': [{'Name': 'svc', 'EnforcesCapacity': True}],
            'Tenants': [{'Name': 'crew', 'ApiKeys': list(keys), 'Guaranteed': {'Gpu': guaranteed}}],
        }
        self.store.put('op/config', msgspec.json.encode(configuration))

    def launch(self, name: str) -> None:
        """Write an instance's settings file and start its daemon."""
        path = self._folder / f'{name}.conf'
        path.write_text(self._settings(name), encoding='utf-8')
        environment = {**os.environ, PATH_VARIABLE: str(path)}
        if self.own_settings:
            own_path = self._folder / f'{name}.toml'
            own_path.write_text(self.own_settings, encoding='utf-8')
            environment[own_settings.PATH_VARIABLE] = str(own_path)
        log = self._log_path(name).open('ab')
        self._process_by_name[name] = subprocess.Popen(  # noqa: S603 - a module of this project
            [sys.executable, '-m', self.program],
            env=environment,
            stdout=log,
            stderr=log,
        )

    @property
    def running_names(self) -> list[str]:
        """Names of the instances whose daemons were launched and not yet killed or reaped."""
        return sorted(self._process_by_name)

    def incarnation(self, name: str) -> int:
        """Return the process id of an instance's daemon, which identifies its incarnation; 0 if it has none."""
        process = self._process_by_name.get(name)
        return 0 if process is None else process.pid

    def pop_exited(self, but: Collection[str] = ()) -> list[str]:
        """Remove and return the instances whose daemons have exited, except those in `but`."""
        ended = [name for name, process in self._process_by_name.items() if process.poll() is not None]
        ended = [name for name in ended if name not in but]
        for name in ended:
            del self._process_by_name[name]
        return ended

    def kill(self, name: str) -> None:
        """Kill a daemon with SIGKILL, also if it is suspended."""
        process = self._process_by_name.pop(name)
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()

    def process(self, name: str) -> subprocess.Popen[bytes] | None:
        """Return the process of an instance's daemon, which ignores signals once it has exited; None without one."""
        return self._process_by_name.get(name)

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a daemon."""
        self._process_by_name[name].send_signal(number)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a daemon."""
        self.signal(name, signal.SIGTERM)

    def pause(self, name: str) -> None:
        """Suspend a daemon with SIGSTOP."""
        self.signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended daemon with SIGCONT."""
        self.signal(name, signal.SIGCONT)

    async def wait_stopped(self, name: str) -> int:
        """Wait until a daemon exits; return its exit status."""
        process = self._process_by_name.pop(name)
        with anyio.fail_after(_STOP_TIMEOUT_S):
            while process.poll() is None:
                await anyio.sleep(0.05)
        return int(process.returncode)

    async def wait_ready(self, name: str) -> None:
        """Poll a daemon's readiness endpoint until it answers with status 200."""
        caller = Caller([Address('127.0.0.1', self._ports_by_name[name][1])])
        while True:
            reply = await caller.call('GET', '/ready')
            if reply is not None and reply.status == 200:
                return
            await anyio.sleep(0.05)

    async def owner(self) -> str:
        """Wait until an instance owns the pool; return its name."""
        while True:
            name = self.current_owner()
            if name is not None:
                return name
            await anyio.sleep(0.05)

    def current_owner(self) -> str | None:
        """Return the name of the instance that owns the pool, or None."""
        value = self.store.value(OWNER_KEY)
        return None if value is None else decode(value, Member, 'member').instance

    def close(self) -> None:
        """Kill all daemons."""
        for process in self._process_by_name.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        self._process_by_name.clear()

    def _settings(self, name: str) -> str:
        front, ready, peers = self._ports_by_name[name]
        store = self.store_address_by_name.get(name, self._store_address)
        lines = {
            'Node': name,
            'Zone': 'z',
            'Ip': self.peer_address(name).host,
            'Listen.Front': f'127.0.0.1:{front}',
            'Listen.Ready': f'127.0.0.1:{ready}',
            'PortRange': f'{peers},{peers}',
            'Limits.CpuShare': '1',
            'Limits.Cores': '1',
            'Limits.MaxFds': '2048',
            'HeartbeatMs': '500',
            'Bootstrap': 'true',
            'Bounds.MaxHoldMs': f'{self.max_hold_s * 1000:.0f}',
            'Bounds.GraceS': '6',
            'platform.Addr': f'{store.host}:{store.port}',
        }
        if self._policy_address is not None:
            lines['Advice'] = f'{self._policy_address.host}:{self._policy_address.port}'
        return ''.join(f'{key}={text}\n' for key, text in lines.items())


def queue_row(name: str, prefix: str, priority: int, host: str = HOST) -> dict[str, Any]:
    """Return a queue as an entry of `Routes` in the configuration document."""
    return {
        'Name': name,
        'Host': host,
        'PathPrefix': prefix,
        'Service': 'svc',
        'Priority': priority,
        'MaxAttempts': 3,
        'Stretch': 3.0,
        'TargetLatencyMs': 1000,
    }


def free_ports(count: int) -> list[int]:
    """Return free ports below the ephemeral range and reserve them for this process.

    An ephemeral port could be assigned to a stand-in or to a client's connection
    before the daemon binds it. A port that is not reserved could be taken by
    another deployment while the daemon is down.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _FIRST_PORT + secrets.randbelow(_PORT_COUNT)
        if _reserve_port(port):
            ports.append(port)
    return ports


def _reserve_port(port: int) -> bool:
    """Reserve a port until this process exits; return False if it is in use. Daemons can still bind it."""
    reserved = socket.socket()
    try:
        reserved.bind((HOST, port))
    except OSError:
        reserved.close()
        return False
    # Set after binding: set before, it would allow binding a port that another process has reserved.
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _RESERVED_SOCKETS.append(reserved)
    return True


_RESERVED_SOCKETS: list[socket.socket] = []
# Below the default ephemeral range of Linux, which starts at 32768.
_FIRST_PORT = 12_000
_PORT_COUNT = 20_000
