"""A small deployment for the cases: daemons by the deploy file's command, stand-ins in this process."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [
    str(ROOT / member)
    for member in ('target/deps', 'packages/kernel', 'packages/node', 'platform', 'packages/standins')
]
os.environ.setdefault('PYTHONDONTWRITEBYTECODE', '1')

from network import Network  # noqa: E402 - the path is set above
from stand_ins import Connection, Worker  # noqa: E402 - the path is set above

from dahliaarch_standins.platform import StoreStandIn  # noqa: E402 - the path is set above

HOST = 'front.example'
KEY = 'key-of-crew'
PREFIX = '/queue/'
MAX_ATTEMPTS = 3

HELD, BROKEN, FAILED_TO_RUN = 0, 1, 2


async def until_terminated(main):
    """Run a case; SIGTERM cancels it, so that it ends all processes that it started."""
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    return await main()


def run_case(main):
    """Run a case and exit with its result; an error of the case itself is no result."""
    try:
        result = asyncio.run(until_terminated(main))
    except BaseException:
        traceback.print_exc()
        result = FAILED_TO_RUN
    sys.exit(result)


def free_ports(host, count):
    """Return free ports of an address, which stay free until somebody takes them."""
    holders = [socket.socket() for _ in range(count)]
    try:
        for holder in holders:
            holder.bind((host, 0))
        return [holder.getsockname()[1] for holder in holders]
    finally:
        for holder in holders:
            holder.close()


class Instance:
    """One daemon, started with the command of the deploy file."""

    def __init__(self, number, folder, store_address, recorder, bounds, *, zone='z0', is_led=False):
        self.name = f'front-{zone}-{number + 1}'
        self.ip = f'127.0.0.{21 + number}'
        self.number = number
        self.zone = zone
        self.front_port, self.ready_port, self.peer_port = free_ports(self.ip, 3)
        self._folder = folder
        self._recorder = recorder
        self._process = None
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text(encoding='utf-8'))['roles']['dahliaarch']
        self._command = deploy['run'].split()
        self._environment = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        self._environment |= deploy.get('env', {})
        self._environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        if is_led:
            # Its connections lead through the proxies of a network, see site/sitecustomize.py.
            self._environment['PYTHONPATH'] += f':{Path(__file__).resolve().parent / "site"}'
            self._environment['REVIEW_NETWORK'] = str(number)
        settings = folder / f'{self.name}.conf'
        self._environment['DAHLIAARCH_BOOT'] = str(settings)
        self.settings = settings
        lines = {
            'Node': self.name,
            'Role': 'dahliaarch',
            'Class': 'front',
            'Serves': 'front',
            'Ip': self.ip,
            'Zone': zone,
            'Region': f'region-{zone}',
            'Zones.z0': 'region-z0',
            'Zones.z1': 'region-z1',
            'Listen.Front': f'{self.ip}:{self.front_port}',
            'Listen.Ready': f'{self.ip}:{self.ready_port}',
            'PortRange': f'{self.peer_port},{self.peer_port + 15}',
            'Bootstrap': 'true',
            'Limits.CpuShare': '0.537',
            'Limits.Cores': '2',
            'Limits.MemoryMb': '300',
            'Limits.MaxFds': '4100',
            'FaultTolerance.Machines': '2',
            'FaultTolerance.Zones': '1',
            'FaultTolerance.Regions': '0',
            'Discovery': 'platform',
            'Entry': 'vip',
            'HeartbeatMs': '1500',
            'Orders': 'call',
            'platform.Addr': '{}:{}'.format(*store_address),
            'platform.form': 'kv',
            'platform.WritesPerS': '400',
            'platform.ReadsPerS': '2000',
            'platform.HistoryS': '20',
            'platform.ValueBytes': '1048576',
            'platform.MinTtlMs': '1000',
            **bounds,
        }
        settings.write_text(''.join(f'{name}={text}\n' for name, text in lines.items()), encoding='utf-8')

    @property
    def front(self):
        return self.ip, self.front_port

    def start(self):
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self._process = subprocess.Popen(
                self._command, cwd=ROOT, env=self._environment, stdout=log, stderr=log, start_new_session=True
            )
        self._recorder.write(f'{self.name}: started')

    def signal(self, number):
        self._recorder.write(f'{self.name}: gets {signal.Signals(number).name}')
        self._process.send_signal(number)

    def exit_status(self):
        return self._process.poll()

    async def is_ready(self):
        answer = await Connection((self.ip, self.ready_port)).call('GET', '/ready', key='', host=self.ip, timeout_s=1.0)
        return answer.status == 200

    def end(self):
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()


class Deployment:
    """A store, workers and daemons."""

    # As on the users' sheet of a small deployment.
    bounds = {
        'Bounds.ContactMs': '3000',
        'Bounds.AckMs': '4000',
        'Bounds.DrainMs': '2000',
        'Bounds.GraceS': '6',
        'Bounds.LossSlackMs': '200',
        'Bounds.ConfigApplyMs': '2000',
        'Bounds.MaxHoldMs': '6000',
        'Bounds.StopTimeoutMs': '400',
        'Bounds.GangTimeoutMs': '3000',
        'Bounds.cancel_ms': '3000',
        'Bounds.visible_ms': '3000',
        'Bounds.early_ms': '250',
        'Bounds.status_s': '120',
        'Bounds.FarFactor': '3',
        'Bounds.CheckpointS': '2',
        'Bounds.RestoreMs': '100',
        'Bounds.ReclaimMs': '2900',
    }

    def __init__(self, recorder, instances, labels_of_workers, store=None, *, starts_all=True, far=None):
        self.recorder = recorder
        self.store = store or StoreStandIn()
        self.workers = [Worker(self.store, recorder, labels) for labels in labels_of_workers]
        self.instances = []
        # How many instances and workers, the last ones, are in another region than the first ones, and proxies on the
        # paths between machines, if a case cuts regions.
        self._far_instances, far_workers = far or (0, 0)
        self.network = Network() if far else None
        for worker in self.workers[len(self.workers) - far_workers :]:
            worker.zone = 'z1'
        self._instance_count = instances
        self._starts_all = starts_all
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        self._tasks = []

    async def __aenter__(self):
        store_address = await self.store.listen()
        self._run(self.store.run())
        self.put_configuration(1)
        for number, worker in enumerate(self.workers):
            await worker.start(f'127.0.0.{51 + number}')
            self._run(worker.run())
        folder = Path(self._folder.name)
        self.instances = [
            Instance(
                number,
                folder,
                store_address,
                self.recorder,
                self.bounds,
                zone='z1' if number >= self._instance_count - self._far_instances else 'z0',
                is_led=self.network is not None,
            )
            for number in range(self._instance_count)
        ]
        if self.network is not None:
            await self._lead(store_address)
        if self._starts_all:
            for instance in self.instances:
                instance.start()
        return self

    async def __aexit__(self, *_):
        for instance in self.instances:
            instance.end()
        for task in self._tasks:
            task.cancel()
        for worker in self.workers:
            await worker.close()
        if self.network is not None:
            self.network.close()
        self.store.server.close()
        self._folder.cleanup()

    async def _lead(self, store_address):
        """Lead all connections of the instances through proxies; the store is in the second region."""
        self.network.place(store_address[0], 'z1')
        for instance in self.instances:
            self.network.place(instance.ip, instance.zone)
        for worker in self.workers:
            self.network.place(worker.address[0], worker.zone)
        for instance in self.instances:
            peers = [(peer.ip, peer.peer_port) for peer in self.instances]
            for target in (store_address, *peers, *(worker.address for worker in self.workers)):
                await self.network.lead(instance.number, instance.ip, tuple(target))

    def _run(self, coroutine):
        self._tasks.append(asyncio.get_running_loop().create_task(coroutine))

    def put_configuration(self, version):
        configuration = {
            'Version': version,
            'Routes': [
                {
                    'Name': 'queue',
                    'Host': HOST,
                    'PathPrefix': PREFIX,
                    'Service': 'svc',
                    'Priority': 1,
                    'MaxAttempts': MAX_ATTEMPTS,
                    'Stretch': 3.0,
                    'TargetLatencyMs': 1000,
                    'TimeoutMs': 3000,
                }
            ],
            'Services': [{'Name': 'svc', 'EnforcesCapacity': True}],
            'Tenants': [{'Name': 'crew', 'ApiKeys': [KEY], 'Guaranteed': {'Gpu': 8}}],
        }
        self.store.put('op/config', json.dumps(configuration).encode())

    async def wait_ready(self, timeout_s=20.0, instances=None):
        """Wait until all instances, or some, are ready and one of them owns the pool."""
        async with asyncio.timeout(timeout_s):
            for instance in instances or self.instances:
                while not await instance.is_ready():
                    await asyncio.sleep(0.05)
            while (await self.call(self.instances[0], 'GET', '')).status != 200:
                await asyncio.sleep(0.1)

    async def call(self, instance, method, path, body=None, timeout_s=3.0):
        """Send one request on a connection of its own."""
        connection = Connection(instance.front)
        try:
            return await connection.call(method, PREFIX + path, body, key=KEY, host=HOST, timeout_s=timeout_s)
        finally:
            connection.close()

    async def submit(self, instance, job_id, steps, spec):
        answer = await self.call(instance, 'POST', job_id, {'Spec': spec, 'Steps': steps})
        self.recorder.write(f'client: POST {job_id} at {instance.name}: {answer.status}')
        return answer.status

    async def state(self, instance, job_id):
        answer = await self.call(instance, 'GET', job_id)
        if answer.status == 200:
            return json.loads(answer.body)['State']
        return str(answer.status)

    def owner(self):
        """Return the instance whose entry in the store says that it owns the pool."""
        value = self.store.value('dahliaarch/owner') or b''
        return next(instance for instance in self.instances if instance.ip.encode() in value)


class Entry:
    """The platform's entry of one zone: passes new connections to the instances that are in."""

    def __init__(self, instances):
        self._instances = instances
        self._misses = dict.fromkeys(range(len(self._instances)), 0)
        self._count = 0

    async def run(self):
        """Ask each instance every second whether it is ready; one that misses twice is out until it answers again."""
        while True:
            await asyncio.gather(*(self._check(number) for number in self._misses), asyncio.sleep(1.0))

    async def _check(self, number):
        try:
            is_ready = await self._instances[number].is_ready()
        except OSError:
            is_ready = False
        self._misses[number] = 0 if is_ready else self._misses[number] + 1

    def pick(self):
        """Return the instance for a new connection."""
        chosen = [number for number, misses in self._misses.items() if misses < 2]
        if 2 * len(chosen) < len(self._misses):
            chosen = list(self._misses)
        self._count += 1
        return self._instances[chosen[self._count % len(chosen)]]
