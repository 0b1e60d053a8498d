"""Stand-ins of workers and of the advice service, as PROTOCOL.md describes them."""

import asyncio
import secrets
import socket
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from dahliaarch_platform.http import HttpServer, Request, Response
from dahliaarch_platform.settings import Address
from dahliaarch_standins.platform import StoreStandIn

HEARTBEAT_S = 1.5
HEARTBEATS_UNTIL_REMOVED = 3
TICK_S = 0.02
FIRST_LIFE_AGE_S = 100.0
ANY_PORT = Address('127.0.0.1', 0)


class Step(NamedTuple):
    """What a step's tasks need and how long they work; lasting tasks never end by themselves."""

    count: int
    cpu: int
    mem_mb: int
    gpu: int
    work_s: float
    gang: bool = False
    lasting: bool = False
    # Whether every run ends `failed` after its work.
    fails: bool = False

    def row(self) -> dict[str, Any]:
        """Return the step as a client submits it."""
        row: dict[str, Any] = {'Count': self.count, 'Cpu': self.cpu, 'MemMb': self.mem_mb, 'Gpu': self.gpu}
        row['EstimateMs'] = int(self.work_s * 1000)
        if self.gang:
            row['Gang'] = True
        if self.lasting:
            row['LongRunning'] = True
        return row


class Run:
    """One run of a task on a worker."""

    def __init__(self, task: str, number: int, step: Step, now_s: float) -> None:
        self.task = task
        self.number = number
        self.step = step
        self.arrived_s = now_s
        self.works_since_s: float | None = None if step.gang else now_s
        self.stops_at_s: float | None = None

    def percent(self, now_s: float) -> int:
        if self.works_since_s is None:
            return 0
        if self.step.lasting:
            return 100
        return min(100, int(100 * (now_s - self.works_since_s) / self.step.work_s))


class World:
    """What all workers share: the jobs' tasks, the gangs and the record of what ran."""

    def __init__(self, store: StoreStandIn, record: Any, gang_timeout_s: float, max_hold_s: float) -> None:
        self.store = store
        self.record = record
        self.gang_timeout_s = gang_timeout_s
        self.max_hold_s = max_hold_s
        self.steps_by_job: dict[str, list[Step]] = {}
        self.workers: list[Worker] = []
        # The service that says which workers may run a step; None where no queue has advice.
        self.advice: Advice | None = None

    def step_of(self, task: str) -> Step:
        job_id, _, step, _ = task.split('.')
        return self.steps_by_job[job_id][int(step)]

    def runs_of(self, job_id: str) -> list[tuple['Worker', Run]]:
        return [(worker, run) for worker in self.workers for run in worker.run_by_task.values() if job_id in run.task]

    async def run(self) -> None:
        """Advance all runs until cancelled."""
        while True:
            now_s = time.monotonic()
            for worker in tuple(self.workers):
                worker.tick(now_s)
            self._advance_gangs(now_s)
            await asyncio.sleep(TICK_S)

    def _members(self, run: Run) -> list[tuple['Worker', Run]]:
        name = run.task.rpartition('.')[0]
        return [
            (worker, other)
            for worker in self.workers
            for other in worker.run_by_task.values()
            if other.number == run.number and other.task.rpartition('.')[0] == name
        ]

    def _advance_gangs(self, now_s: float) -> None:
        for worker in self.workers:
            for run in tuple(worker.run_by_task.values()):
                if run.step.gang and run.works_since_s is None and run.task in worker.run_by_task:
                    self._gather(worker, run, now_s)

    def _gather(self, worker: 'Worker', run: Run, now_s: float) -> None:
        members = self._members(run)
        if len(members) == run.step.count:
            for _, member in members:
                member.works_since_s = now_s
        elif now_s - run.arrived_s > self.gang_timeout_s:
            worker.end(run, 'alone')

    def gang_ended(self, run: Run, how: str) -> None:
        """End the other members of a gang: with the same success, or broken."""
        for worker, member in self._members(run):
            worker.end(member, 'done' if how == 'done' else 'broken', is_member=True)


class Worker:
    """One life of a worker; a crash ends it, and another one may begin at its address."""

    def __init__(self, world: World, rack: str, zone: str, service: str = 'svc') -> None:
        self.world = world
        self.worker_id = f'i-{secrets.token_hex(4)}'
        self.rack = rack
        self.zone = zone
        self.service = service
        self.capacity = (64_000, 262_144, 8)
        self.stop_s = 0.3
        self.is_draining = False
        self.is_up = False
        self.address = Address('127.0.0.1', 0)
        self.run_by_task: dict[str, Run] = {}
        self._highest_by_task: dict[str, int] = {}
        self._finished: list[list[Any]] = []
        self._end_count = 0
        self._fence = 0
        self._lease_end_s = 0.0
        self._born_s = time.monotonic() - FIRST_LIFE_AGE_S
        self._updated = asyncio.Event()
        self._seq = 0
        self.server = HttpServer(self._handle)

    async def start(self, address: Address = ANY_PORT) -> None:
        """Listen, and publish the entry."""
        await self.server.listen(address)
        self.address = Address('127.0.0.1', self.server.port)
        self.is_up = True
        self.world.workers.append(self)
        self.publish()
        self.world.record('worker_up', worker=self.worker_id, rack=self.rack)

    def publish(self) -> None:
        self._seq += 1
        entry: dict[str, Any] = {
            'Service': self.service,
            'Addr': f'{self.address.host}:{self.address.port}',
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': 8,
            'State': 'draining' if self.is_draining else 'ready',
            'ColdLeftMs': 0,
            'Capacity': dict(zip(('Cpu', 'MemMb', 'Gpu'), self.capacity, strict=True)),
            'Labels': ['a', self.rack],
            'ClockMs': self._clock_ms(),
            'Seq': self._seq,
            **self.entry_extras(),
        }
        if self.is_draining:
            entry['RemainingMs'] = self._remaining_ms
        self.world.store.put(f'servers/{self.worker_id}', msgspec.json.encode(entry))

    def entry_extras(self) -> dict[str, Any]:
        """Return further fields of the entry."""
        return {}

    def drain(self, remaining_s: float) -> None:
        """State that the worker leaves; it serves on for a while."""
        self.is_draining = True
        self._remaining_ms = int(remaining_s * 1000)
        self.publish()
        self.world.record('worker_draining', worker=self.worker_id, remaining_s=remaining_s)

    def leave(self) -> None:
        """End after draining: what still runs there dies, and the entry goes."""
        self._end_life('worker_left')
        self.world.store.remove(f'servers/{self.worker_id}')

    async def crash(self, down_s: float) -> 'Worker':
        """Crash; after a downtime return the next life, which has another id and the same address."""
        self._end_life('worker_crashed')
        asyncio.get_running_loop().call_later(
            HEARTBEAT_S * HEARTBEATS_UNTIL_REMOVED, self.world.store.remove, f'servers/{self.worker_id}'
        )
        successor = Worker(self.world, self.rack, self.zone, self.service)
        with socket.socket() as holder:
            # The address stays this worker's while it is down; connections to it are refused.
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            holder.bind(self.address)
            await asyncio.sleep(down_s)
            await successor.start(self.address)
        return successor

    def _end_life(self, event: str) -> None:
        self.is_up = False
        self.world.workers.remove(self)
        self.server.close()
        runs = list(self.run_by_task.values())
        lost = [[run.task, run.number] for run in runs]
        self.run_by_task.clear()
        self.world.record(event, worker=self.worker_id, lost_runs=lost)
        for run in runs:
            if run.step.gang:
                self.world.gang_ended(run, 'lost')

    def tick(self, now_s: float) -> None:
        """End the runs whose time has come, and all of them once the lease is over."""
        has_lapsed = self._clock_ms() / 1000 > self._lease_end_s
        for run in tuple(self.run_by_task.values()):
            if has_lapsed:
                self.end(run, 'lapsed')
            elif run.stops_at_s is not None and now_s >= run.stops_at_s:
                self.end(run, 'stopped')
            elif run.works_since_s is not None and not run.step.lasting:
                if now_s >= run.works_since_s + run.step.work_s:
                    self.end(run, 'failed' if run.step.fails else 'done')

    def end(self, run: Run, how: str, *, is_member: bool = False) -> None:
        """End a run and list its end."""
        if self.run_by_task.get(run.task) is not run:
            return
        del self.run_by_task[run.task]
        self._note_number(run)
        self._end_count += 1
        self._finished.append([self._end_count, run.task, run.number, how, ''])
        self.world.record('run_ended', worker=self.worker_id, task=run.task, run=run.number, how=how)
        updated, self._updated = self._updated, asyncio.Event()
        updated.set()
        if run.step.gang and not is_member:
            self.world.gang_ended(run, how)

    def free(self) -> tuple[int, ...]:
        """Return the free room; a run that is being stopped still takes its own."""
        steps = [run.step for run in self.run_by_task.values()]
        used = (sum(s.cpu for s in steps), sum(s.mem_mb for s in steps), sum(s.gpu for s in steps))
        return tuple(total - taken for total, taken in zip(self.capacity, used, strict=True))

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born_s) * 1000)

    def _note_number(self, run: Run) -> None:
        self._highest_by_task[run.task] = max(run.number, self._highest_by_task.get(run.task, 0))

    async def _handle(self, request: Request) -> Response:
        if request.header('expected-instance') not in {'', self.worker_id}:
            return Response(421)
        body = msgspec.json.decode(request.body)
        if body.get('Fence', 0) < self._fence:
            return self._reply({'Reason': 'fence'}, 409)
        self._fence = body.get('Fence', 0)
        match request.path:
            case '/run-start':
                return self._start(body)
            case '/run-stop':
                return self._stop(body)
            case '/hold':
                return await self._hold(body)
        return Response(404)

    def _start(self, body: dict[str, Any]) -> Response:
        task, number = body['Task'], body['Run']
        known = self.run_by_task.get(task)
        if known is not None and known.number == number:
            return self._reply({})
        reason = self._refusal(task, number, body)
        if reason != 'late':
            self._extend_lease(body)
        self.world.record('start', worker=self.worker_id, task=task, run=number, refused=reason)
        if reason:
            return self._reply({'Reason': reason}, 409)
        self.run_by_task[task] = Run(task, number, self.world.step_of(task), time.monotonic())
        return self._reply({})

    def _refusal(self, task: str, number: int, body: dict[str, Any]) -> str:
        """Return why a start is refused, or an empty text."""
        if body['UntilMs'] <= self._clock_ms():
            return 'late'
        if number <= self._highest_by_task.get(task, 0) or task in self.run_by_task:
            return 'old'
        step = self.world.step_of(task)
        if any(left < wanted for left, wanted in zip(self.free(), (step.cpu, step.mem_mb, step.gpu), strict=True)):
            return 'room'
        return self.ticket_refusal(task, body.get('Ticket', ''))

    def ticket_refusal(self, task: str, ticket: str) -> str:
        """Return `ticket` if a start lacks a valid one; queues without advice need none."""
        advice = self.world.advice
        if advice is None or advice.is_valid(task.rpartition('.')[0], self.worker_id, ticket):
            return ''
        return 'ticket'

    def _stop(self, body: dict[str, Any]) -> Response:
        task, number = body['Task'], body['Run']
        run = self.run_by_task.get(task)
        self.world.record('stop', worker=self.worker_id, task=task, run=number)
        if run is not None and run.number == number:
            if run.stops_at_s is None:
                run.stops_at_s = time.monotonic() + self.stop_s
        else:
            self._highest_by_task[task] = max(number, self._highest_by_task.get(task, 0))
        return self._reply({})

    async def _hold(self, body: dict[str, Any]) -> Response:
        self._extend_lease(body)
        acknowledged = body.get('AckedUpto', 0)
        for row in self._finished:
            if row[0] <= acknowledged:
                self.world.record('end_noted', worker=self.worker_id, task=row[1], run=row[2], how=row[3])
        self._finished = [row for row in self._finished if row[0] > acknowledged]
        if body.get('WaitMs') and not self._finished:
            try:
                async with asyncio.timeout(body['WaitMs'] / 1000):
                    await self._updated.wait()
            except TimeoutError:
                pass
        now_s = time.monotonic()
        running = [[run.task, run.number, '', run.percent(now_s), 0] for run in self.run_by_task.values()]
        return self._reply({'Running': running, 'Finished': self._finished[:500], **self.entry_extras()})

    def _extend_lease(self, body: dict[str, Any]) -> None:
        wanted_s = body.get('UntilMs', 0) / 1000
        longest_s = self._clock_ms() / 1000 + self.world.max_hold_s
        self._lease_end_s = max(self._lease_end_s, min(wanted_s, longest_s))

    def _reply(self, fields: dict[str, Any], status: int = 200) -> Response:
        return Response(status, msgspec.json.encode({'ClockMs': self._clock_ms(), **fields}))


class Advice:
    """Says which workers may run a step: those of one rack, at whatever life."""

    def __init__(self, world: World, rack: str, decision_s: float, per_item_s: float, valid_s: float) -> None:
        self.terms = {
            'DecisionMs': int(decision_s * 1000),
            'PerItemMs': int(per_item_s * 1000),
            'ValidMs': int(valid_s * 1000),
        }
        self._world = world
        self._rack = rack
        self._decision_s = decision_s
        self._per_item_s = per_item_s
        self._valid_s = valid_s
        self._expiry_by_ticket: dict[tuple[str, str, str], float] = {}
        self._turn = asyncio.Lock()
        self.server = HttpServer(self._handle)

    def allows(self, worker: Worker) -> bool:
        return worker.rack == self._rack

    def is_valid(self, step: str, worker_id: str, ticket: str) -> bool:
        return self._expiry_by_ticket.get((step, worker_id, ticket), 0.0) > time.monotonic()

    async def start(self) -> Address:
        await self.server.listen(ANY_PORT)
        return Address('127.0.0.1', self.server.port)

    async def _handle(self, request: Request) -> Response:
        body = msgspec.json.decode(request.body)
        # One call at a time: instances call from one address here, so that they share the turn.
        async with self._turn:
            await asyncio.sleep(self._decision_s + self._per_item_s * len(body['Workers']))
        by_id = {worker.worker_id: worker for worker in self._world.workers}
        rows = []
        for worker_id in body['Workers']:
            if worker_id in by_id and self.allows(by_id[worker_id]):
                ticket = secrets.token_hex(8)
                self._expiry_by_ticket[body['Step'], worker_id, ticket] = time.monotonic() + self._valid_s
                rows.append([worker_id, ticket])
        self._world.record('advice', step=body['Step'], asked=body['Workers'], healthy=[row[0] for row in rows])
        return Response(200, msgspec.json.encode({'Healthy': rows, 'ValidMs': self.terms['ValidMs']}))


class RestartingWorker(Worker):
    """A worker that may start again under its id, be cut off, and carry out orders late.

    The field `born` tells its lives apart; each knows nothing of the one before, and its clock starts anew.
    """

    def __init__(self, world: World, rack: str, zone: str, service: str = 'svc') -> None:
        super().__init__(world, rack, zone, service)
        self.is_cut = False
        # The first life is some while old, as its clock tells.
        self._born_ms = int((time.time() - FIRST_LIFE_AGE_S) * 1000)
        # Returns how late a start is carried out that gets no answer, in seconds, or None for one that is answered.
        self.lateness_s: Callable[[dict[str, Any]], float | None] = lambda body: None

    def entry_extras(self) -> dict[str, Any]:
        return {'born': self._born_ms}

    def cut_off_and_restart(self) -> None:
        """Cut the worker off from all machines; it crashes behind the cut and starts again under its id."""
        self.is_cut = True
        lost = [[run.task, run.number] for run in self.run_by_task.values()]
        self.run_by_task.clear()
        self._highest_by_task.clear()
        self._finished = []
        self._end_count = self._fence = self._seq = 0
        self._lease_end_s = 0.0
        self._born_ms = int(time.time() * 1000)
        self._born_s = time.monotonic()
        for connection in tuple(self.server.connections):
            connection.abort()
        asyncio.get_running_loop().call_later(HEARTBEAT_S * HEARTBEATS_UNTIL_REMOVED, self._let_entry_lapse)
        self.world.record('worker_cut_and_reborn', worker=self.worker_id, born=self._born_ms, lost_runs=lost)

    def heal(self) -> None:
        """End the cut, and publish the entry of the present life."""
        self.is_cut = False
        self.publish()
        self.world.record('worker_healed', worker=self.worker_id)

    def _let_entry_lapse(self) -> None:
        if self.is_cut:
            self.world.store.remove(f'servers/{self.worker_id}')

    async def _handle(self, request: Request) -> Response:
        if self.is_cut:
            # What is sent into a cut is lost, and nothing is answered.
            return await _silence()
        if request.path == '/run-start' and request.header('expected-instance') in {'', self.worker_id}:
            body = msgspec.json.decode(request.body)
            late_s = self.lateness_s(body)
            if late_s is not None:
                self.world.record('start_unanswered', worker=self.worker_id, task=body['Task'], run=body['Run'])
                asyncio.get_running_loop().call_later(late_s, self._start_late, body)
                return await _silence()
        return await super()._handle(request)

    def _start_late(self, body: dict[str, Any]) -> None:
        """Carry out a start that got no answer; a fence that this life has seen counts as for any order."""
        is_fenced = body.get('Fence', 0) < self._fence
        answer = None if is_fenced else self._start(body).status
        self.world.record('start_late', worker=self.worker_id, task=body['Task'], run=body['Run'], answer=answer)


async def _silence() -> Response:
    await asyncio.sleep(30.0)
    return Response(503)
