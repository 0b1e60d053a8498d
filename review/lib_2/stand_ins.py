"""Small stand-ins for the review: a worker, an HTTP server and an HTTP client, written from the users' pages alone."""

import asyncio
import contextlib
import itertools
import json
import secrets
import time


class Recorder:
    """Writes one line for each event, with the seconds since the start."""

    def __init__(self, path):
        self._file = path.open('w', encoding='utf-8')
        self._start = time.monotonic()

    def write(self, text):
        line = f'{time.monotonic() - self._start:8.3f} {text}'
        print(line, file=self._file, flush=True)
        print(line, flush=True)


async def read_message(reader):
    """Read one HTTP/1.1 message; return its first line, its headers and its body."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(':') for line in head[1:])}
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return head[0], headers, body


class HttpAnswerError(Exception):
    """An answer other than 200."""

    def __init__(self, status, fields=None):
        super().__init__(status)
        self.status = status
        self.fields = fields


class Worker:
    """A worker of the users' platform: runs tasks under a lease, lists what runs and what has ended.

    A task runs for the seconds that its `Spec` names and then ends `done`.
    """

    ids = itertools.count(1)

    def __init__(self, store, recorder, labels, *, max_hold_s=6.0, stop_s=0.1):
        self.store = store
        self.recorder = recorder
        self.labels = labels
        self.zone = 'z0'
        self.slots = 8
        self.max_hold_s = max_hold_s
        self.stop_s = stop_s
        # Each start and each end that a run came to, with the life of the worker.
        self.starts = []
        # The same starts: the time on the steady clock and the task.
        self.started = []
        self.ends = []
        # Tasks whose run has ended `done`, which was then taken note of while the lease had not lapsed.
        self.noted_done = set()
        # Whether the worker is cut off from the store, and does not write its entry.
        self.is_cut_off = False
        self._server = None
        self._connections = set()
        self._begin_life()

    def _begin_life(self):
        self.worker_id = f'i-{next(self.ids):02d}{secrets.token_hex(3)}'
        self._born = time.monotonic()
        self._fence = 0
        self._lease_ms = 0
        self._running = {}
        self._highest = {}
        self._finished = []
        self._ended_at = {}
        # When the lease was last seen to be over.
        self._lapsed_at = 0.0
        self._count = 0
        self._seq = 0
        self._ended = asyncio.Event()

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._born) * 1000) + 1

    @property
    def running(self):
        """The numbers of the runs that are going on, by task."""
        return {task: run['number'] for task, run in self._running.items()}

    def cut_off(self):
        """Stop writing the entry, which goes after three heartbeats of silence."""
        self.is_cut_off = True
        asyncio.get_running_loop().call_later(4.5, self.store.remove, self.key)

    @property
    def unacknowledged(self):
        return len(self._finished)

    @property
    def run_count(self):
        return len(self._running)

    @property
    def key(self):
        return f'servers/{self.worker_id}'

    async def start(self, host='127.0.0.1', port=0):
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = self._server.sockets[0].getsockname()[:2]
        self.publish()

    def publish(self):
        entry = {
            'Service': 'svc',
            'Addr': '{}:{}'.format(*self.address),
            'Zone': self.zone,
            'Version': 'v1',
            'Slots': self.slots,
            'State': 'ready',
            'Capacity': {'Cpu': 64_000, 'MemMb': 262_144, 'Gpu': 8},
            'Labels': self.labels,
            'Seq': self._seq,
        }
        self.store.put(self.key, json.dumps(entry).encode())

    async def run(self):
        """Let runs end, and write the entry again each 1.5 s."""
        next_beat = 0.0
        while True:
            await asyncio.sleep(0.01)
            if self._server is None:
                continue
            if time.monotonic() > next_beat and not self.is_cut_off:
                next_beat = time.monotonic() + 1.5
                self._seq += 1
                self.publish()
            now = time.monotonic()
            if self.clock_ms > self._lease_ms:
                self._lapsed_at = now
            for task, run in tuple(self._running.items()):
                if self.clock_ms > self._lease_ms:
                    self._end(task, 'lapsed')
                elif run['stop_at'] is not None and now >= run['stop_at']:
                    self._end(task, 'stopped')
                elif now >= run['ends_at']:
                    self._end(task, 'done')

    def _end(self, task, how):
        run = self._running.pop(task)
        self._count += 1
        self._ended_at[self._count] = time.monotonic()
        self._finished.append([self._count, task, run['number'], how, ''])
        self.ends.append((task, run['number'], how))
        self.recorder.write(f'worker {self.worker_id}: run {run["number"]} of {task} ended {how}')
        self._ended.set()

    async def crash(self, down_s):
        """Crash, with all that runs, and come back after a while at the same address under a new id."""
        lost = sorted(self._running)
        self.recorder.write(f'worker {self.worker_id}: crashes, running {lost}')
        host, port = self.address
        self._server.close()
        self._server = None
        for writer in tuple(self._connections):
            writer.transport.abort()
        self._running = {}
        key = self.key
        await asyncio.sleep(down_s)
        self._begin_life()
        await self.start(host, port)
        self.recorder.write(f'worker {self.worker_id}: is up at the same address')
        # The entry of the life before goes after three heartbeats of silence.
        asyncio.get_running_loop().call_later(max(0.0, 4.5 - down_s), self.store.remove, key)

    def break_gang(self, job_id):
        """End the runs of a gang that has lost a member elsewhere."""
        for task in tuple(self._running):
            if task.startswith(job_id):
                self._end(task, 'broken')

    async def close(self):
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader, writer):
        self._connections.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                try:
                    fields = await self._answer(line.split()[1], headers, json.loads(body))
                    status = 200
                except HttpAnswerError as answer:
                    status, fields = answer.status, answer.fields
                data = b'' if fields is None else json.dumps(fields | {'ClockMs': self.clock_ms}).encode()
                writer.write(f'HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n'.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            return
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, path, headers, body):
        if headers.get('expected-instance', self.worker_id) != self.worker_id:
            raise HttpAnswerError(421)
        if body.get('Fence', 0) < self._fence:
            raise HttpAnswerError(409, {'Reason': 'fence'})
        self._fence = body.get('Fence', 0)
        if path == '/hold':
            return await self._hold(body)
        if path == '/run-start':
            return self._start_run(body)
        if path == '/run-stop':
            return self._stop_run(body)
        raise HttpAnswerError(404)

    async def _hold(self, body):
        self._extend(body)
        acknowledged = body.get('AckedUpto', 0)
        self.noted_done.update(
            row[1]
            for row in self._finished
            if row[0] <= acknowledged and row[3] == 'done' and self._ended_at[row[0]] > self._lapsed_at
        )
        self._finished = [row for row in self._finished if row[0] > acknowledged]
        if not self._finished and body.get('WaitMs'):
            self._ended.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), body['WaitMs'] / 1000)
        now = time.monotonic()
        running = [
            [task, run['number'], '', min(99, int(100 * (now - run['began']) / run['work_s']))]
            for task, run in self._running.items()
        ]
        return {'Running': running, 'Finished': self._finished[:500]}

    def _start_run(self, body):
        task, number = body['Task'], body['Run']
        known = self._running.get(task)
        if known is not None and known['number'] == number:
            return {}
        self._extend(body)
        if body['UntilMs'] <= self.clock_ms:
            raise HttpAnswerError(409, {'Reason': 'late'})
        if number <= self._highest.get(task, 0):
            raise HttpAnswerError(409, {'Reason': 'old'})
        self._highest[task] = number
        work_s = float(body['Spec'])
        now = time.monotonic()
        self._running[task] = {
            'number': number,
            'began': now,
            'work_s': work_s,
            'ends_at': now + work_s,
            'stop_at': None,
        }
        self.starts.append((task, number))
        self.started.append((now, task))
        self.recorder.write(f'worker {self.worker_id}: starts run {number} of {task}')
        return {}

    def _stop_run(self, body):
        task, number = body['Task'], body['Run']
        self._highest[task] = max(number, self._highest.get(task, 0))
        run = self._running.get(task)
        if run is not None and run['number'] == number and run['stop_at'] is None:
            run['stop_at'] = time.monotonic() + self.stop_s
        return {}

    def _extend(self, body):
        until = min(body.get('UntilMs', 0), self.clock_ms + int(self.max_hold_s * 1000))
        self._lease_ms = max(self._lease_ms, until)


class Answer:
    """What a client saw of one request."""

    def __init__(self):
        self.sent_at = 0.0
        self.ended_at = 0.0
        # None if the connection ended without a complete answer.
        self.status = None
        self.body = b''
        self.is_connected = False


class Connection:
    """A client's connection, kept open between its requests."""

    def __init__(self, address):
        self._address = address
        self._reader = None
        self._writer = None

    async def open(self):
        self._reader, self._writer = await asyncio.open_connection(*self._address)

    async def call(self, method, path, body=None, *, key, host, timeout_s=3.0):
        answer = Answer()
        try:
            if self._writer is None:
                await self.open()
            answer.is_connected = True
            data = b'' if body is None else json.dumps(body).encode()
            head = f'{method} {path} HTTP/1.1\r\nHost: {host}\r\nAuthorization: Token {key}\r\n'
            head += f'Deadline-Ms: {int(timeout_s * 1000)}\r\n'
            if data:
                head += f'Content-Type: application/json\r\nContent-Length: {len(data)}\r\n'
            self._writer.write(head.encode() + b'\r\n' + data)
            await self._writer.drain()
            answer.sent_at = time.monotonic()
            line, headers, answer.body = await asyncio.wait_for(read_message(self._reader), timeout_s)
            answer.status = int(line.split()[1])
            if headers.get('connection') == 'close':
                self.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
        answer.ended_at = time.monotonic()
        return answer

    def close(self):
        if self._writer is not None:
            self._writer.close()
            self._writer = None
