"""Runs the daemons with the deploy file's command against the stand-ins, and records what is seen outside."""

import os
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import msgspec

from dahliaarch_platform.http import HttpClient, RequestNotSentError, RequestUnansweredError
from dahliaarch_platform.settings import Address
from dahliaarch_standins.deployment.core import free_ports
from dahliaarch_standins.platform import StoreStandIn

HELD, BROKEN, NOT_RUN = 0, 1, 2
ROOT = Path(__file__).resolve().parents[2]
HOST = 'jobs.example'
KEY = 'd4a3hwrr6x73d3zji9n7'
PREFIX = '/volo102/'
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes one JSON line for each event to record.txt."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._began_s = time.monotonic()
        self.rows: list[dict[str, Any]] = []

    @property
    def now_s(self) -> float:
        return round(time.monotonic() - self._began_s, 3)

    def __call__(self, event: str, **fields: Any) -> None:
        row = {'at': self.now_s, 'event': event, **fields}
        self.rows.append(row)
        self._file.write(msgspec.json.encode(row).decode() + '\n')
        self._file.flush()


class Fleet:
    """The daemons of a small deployment, their store and a client."""

    def __init__(
        self,
        record: Record,
        bounds: dict[str, Any],
        route: dict[str, Any],
        service: dict[str, Any],
        instances: int = 4,
    ) -> None:
        self.record = record
        self.store = StoreStandIn()
        self.advice_address: Address | None = None
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self._bounds = bounds
        self.route = {
            'Name': 'r-ce7ejsm',
            'Host': HOST,
            'PathPrefix': PREFIX,
            'Kind': 'unsafe',
            'TimeoutMs': 3000,
            'TargetLatencyMs': 1000,
            'Priority': 1,
            'Service': 'svc',
            'MaxAttempts': 4,
            'Stretch': 3.0,
            'Public': False,
            **route,
        }
        # Further routes, with the fields in which they differ from the first.
        self.further_routes: list[dict[str, Any]] = []
        self.tenants = [{'Name': 'kaje80', 'ApiKeys': [KEY], 'Priority': 1, 'Guaranteed': {'Gpu': 32}}]
        self._service = {'Name': 'svc', 'EnforcesCapacity': True, 'Headroom': False, **service}
        self._ports_by_name = {f'front-{number}': free_ports(4) for number in range(instances)}
        self.process_by_name: dict[str, subprocess.Popen[bytes]] = {}
        # Address at which an instance finds the store, if it is that of a proxy.
        self.store_address_by_name: dict[str, Address] = {}
        self._store_address = Address('127.0.0.1', 0)
        self._http = HttpClient()
        self._calls = 0
        self._version = 0

    @property
    def names(self) -> list[str]:
        return sorted(self._ports_by_name)

    async def start_platform(self) -> Address:
        """Start the store and write the configuration."""
        self._store_address = await self.store.listen()
        self.configure()
        return self._store_address

    def configure(self, **route: Any) -> None:
        """Write the next version of the configuration."""
        self._version += 7
        configuration = {
            'Version': self._version,
            'Routes': [{**self.route, **each, **route} for each in ({}, *self.further_routes)],
            'Services': [self._service],
            'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 262144, 'HeaderTimeoutMs': 3000},
            'Tenants': self.tenants,
        }
        self.store.put('op/config', msgspec.json.encode(configuration))
        self.record('configuration', version=self._version)

    async def start_daemons(self) -> None:
        """Start all daemons; wait until all are ready and one owns the pool."""
        for name in self.names:
            self.launch(name)
        with anyio.fail_after(30):
            for name in self.names:
                while await self._ready(name) != 200:
                    await anyio.sleep(0.1)
            while self.owner() is None:
                await anyio.sleep(0.1)
        self.record('daemons_ready', owner=self.owner())

    def owner(self) -> str | None:
        """Return the instance that owns the pool, as the key in the store says."""
        value = self.store.value('dahliaarch/owner')
        if value is None:
            return None
        text = value.decode('utf-8', 'replace')
        return next((name for name in self.names if name in text), None)

    def launch(self, name: str) -> None:
        """Start a daemon with the run command and the environment of the deploy file."""
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())['roles']['dahliaarch']
        boot = self.folder / f'{name}.conf'
        boot.write_text(self._settings(name), encoding='utf-8')
        kept = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        environment = {
            **kept,
            **role['env'],
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'DAHLIAARCH_BOOT': str(boot),
        }
        log = (self.folder / f'{name}.log').open('ab')
        self.process_by_name[name] = subprocess.Popen(
            role['run'].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    def _settings(self, name: str) -> str:
        front, ready, control, peers = self._ports_by_name[name]
        store = self.store_address_by_name.get(name, self._store_address)
        zones = ('tacoma-hall', 'spokane-hall', 'salem-hall')
        lines = {
            'Node': name,
            'Role': 'dahliaarch',
            'Class': 'front',
            'Serves': 'front',
            'Ip': '127.0.0.1',
            'Zone': zones[self.names.index(name) % 3],
            'Region': 'pnw',
            **{f'Zones.{zone}': 'pnw' for zone in zones},
            'Listen.Front': f'127.0.0.1:{front}',
            'Listen.Ready': f'127.0.0.1:{ready}',
            'Listen.Control': f'127.0.0.1:{control}',
            'PortRange': f'{peers},{peers}',
            'Bootstrap': 'true',
            'LossCounts': 'false',
            'Limits.CpuShare': '0.537',
            'Limits.Cores': '2',
            'Limits.MemoryMb': '300',
            'Limits.MaxFds': '4100',
            'Limits.LinkMbps': '1000.0',
            'Discovery': 'platform',
            'Entry': 'vip',
            'HeartbeatMs': '1500',
            'Orders': 'call',
            'platform.Addr': f'{store.host}:{store.port}',
            'platform.form': 'kv',
            'platform.WritesPerS': '400',
            'platform.ReadsPerS': '2000',
            'platform.HistoryS': '20',
            'platform.ValueBytes': '1048576',
            'platform.MinTtlMs': '1000',
            **{f'Bounds.{bound}': str(limit) for bound, limit in self._bounds.items()},
        }
        if self.advice_address is not None:
            lines['Advice'] = f'{self.advice_address.host}:{self.advice_address.port}'
        return ''.join(f'{key}={text}\n' for key, text in lines.items())

    async def _ready(self, name: str) -> int:
        reply = await self._send(Address('127.0.0.1', self._ports_by_name[name][1]), 'GET', '/ready', b'', 2.0)
        return 0 if reply is None else reply[0]

    async def _send(
        self, address: Address, method: str, path: str, body: bytes, timeout_s: float, key: str = KEY
    ) -> tuple[int, bytes] | None:
        headers = {'Host': HOST, 'Authorization': f'Token {key}', 'Deadline-Ms': str(int(timeout_s * 1000))}
        try:
            reply = await self._http.call(address, method, path, body, timeout_s=timeout_s, headers=headers)
        except (RequestNotSentError, RequestUnansweredError):
            return None
        return reply.status, reply.body

    async def call(
        self, method: str, path: str, body: Any = None, timeout_s: float = 3.0, *, key: str = KEY
    ) -> tuple[int, Any]:
        """Send one request to the next instance, as a client does; status 0 if there is no answer."""
        self._calls += 1
        name = self.names[self._calls % len(self.names)]
        address = Address('127.0.0.1', self._ports_by_name[name][0])
        sent_at = self.record.now_s
        reply = await self._send(
            address, method, path, b'' if body is None else msgspec.json.encode(body), timeout_s, key
        )
        status, data = reply or (0, b'')
        answer = msgspec.json.decode(data) if data else None
        self.record('request', sent_at=sent_at, to=name, method=method, path=path, status=status, answer=answer)
        return status, answer

    async def submit(self, world: Any, steps: list[Any], *, prefix: str = PREFIX, key: str = KEY) -> str:
        """Hand in a job, again with the same id until it is accepted; return the id."""
        job_id = secrets.token_hex(8)
        world.steps_by_job[job_id] = steps
        body = {'Spec': secrets.token_hex(8), 'Steps': [step.row() for step in steps]}
        with anyio.fail_after(20):
            while (await self.call('POST', prefix + job_id, body, key=key))[0] != 200:
                await anyio.sleep(0.3)
        return job_id

    async def state(self, job_id: str, *, prefix: str = PREFIX, key: str = KEY) -> str:
        """Ask once for a job's state; return it, or the status if it is not 200."""
        status, answer = await self.call('GET', prefix + job_id, key=key)
        return str(answer['State']) if status == 200 else str(status)

    def close(self) -> None:
        """End all daemons that this fleet started, and remove their settings and logs (unless KEEP=1)."""
        for process in self.process_by_name.values():
            process.kill()
            process.wait()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case: Callable[[Record], Awaitable[int]], folder: Path, limit_s: float = 110.0) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    # A request to end goes through the case's clean-up as well.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def limited() -> int:
        with anyio.fail_after(limit_s):
            return await case(record)

    try:
        verdict = anyio.run(limited)
    except BaseException as error:
        record('case_not_run', why=repr(error))
        verdict = NOT_RUN
    record('verdict', exit_status=verdict, trouble=HAS_TROUBLE)
    print(f'exit status {verdict}, trouble {HAS_TROUBLE}')
    sys.exit(verdict)
