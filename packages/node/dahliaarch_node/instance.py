"""One instance of the daemon: its HTTP servers, its links to other instances and, while elected, the pool owner."""

import secrets
import time
from functools import partial
from pathlib import Path

import anyio
import msgspec
from anyio.abc import TaskGroup

from dahliaarch_kernel.errors import SettingsError
from dahliaarch_platform.advice import AdviceClient
from dahliaarch_platform.http import HttpClient, HttpServer, Request, Response
from dahliaarch_platform.sessions import WorkerClient
from dahliaarch_platform.settings import Address, InstanceSettings, read_settings
from dahliaarch_platform.store import StoreClient

from .asking import policy_queries
from .authority import Authority
from .clock import steady_s
from .configuration import ConfigurationFollower, PeerFeed, StoreFeed
from .electorate import Electorate
from .front import AdmissionControl, Front
from .logs import log_event, LogWriter
from .membership import Membership
from .metrics import Metrics
from .own_settings import OwnSettings
from .owner import PoolOwner
from .owner.settings import OwnerSettings
from .ownership import Ownership
from .peers import Mesh, UnansweredWrite
from .probing import probe_store
from .records import Member
from .relaying import available_relays
from .replies import PeerReplies
from .signals import ReceivedSignals, STOP_SIGNALS
from .status import build_status
from .timing import StoreTiming

# Minimum CPU, in cores, with which an instance is a preferred owner and claims the pool sooner.
_MIN_PREFERRED_OWNER_CORES = 0.9
# File descriptors reserved for uses other than client connections.
_RESERVED_FDS = 400
# How long an instance that shuts down still accepts connections, in seconds. The load balancer
# removes it after two failed readiness checks, which are made once a second.
_SHUTDOWN_ACCEPT_S = 2.6
# Part of the grace period reserved for process exit, in seconds.
_EXIT_MARGIN_S = 0.8
# Interval at which the settings file is polled, in seconds.
_SETTINGS_POLL_INTERVAL_S = 1.0


class Instance:
    """All components of one daemon process.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the platform, as read from its file.
    path : Path
        Path of that file, which is reloaded when it changes.
    own_settings : OwnSettings
        Settings chosen by the project's operators.
    log_writer : LogWriter
        Writes log lines in the background.
    signals : ReceivedSignals
        Signals to this process.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        path: Path,
        own_settings: OwnSettings,
        log_writer: LogWriter,
        signals: ReceivedSignals,
    ) -> None:
        """Build the components; `run` starts them."""
        self._own_settings = own_settings
        self._settings = settings
        self._path = path
        self._log_writer = log_writer
        self._signals = signals
        self._metrics = Metrics()
        self._timing = StoreTiming()
        self._http = HttpClient()
        self._admission = AdmissionControl(own_settings.scheduler, self._metrics)
        self._store = StoreClient(settings.store, self._http, self._observe_store_call)
        self._member = Member(settings.instance, secrets.token_hex(4), settings.ip, settings.peer_ports[0])
        self._follower = ConfigurationFollower(self._metrics)
        self._store_feed = StoreFeed(self._follower, self._store, self._timing)
        self._authority = Authority(own_settings.ownership.lease_s, own_settings.ownership.max_outage_s)
        self._electorate = Electorate(self._store, self._timing)
        self._ownership = Ownership(
            self._member,
            self._store,
            self._timing,
            own_settings.ownership,
            self._authority,
            self._electorate,
            is_preferred=settings.cpu_share * settings.cores >= _MIN_PREFERRED_OWNER_CORES,
        )
        self._advice = AdviceClient(self._http, settings.advice) if settings.advice else None
        self._replies = PeerReplies(self._store, self._follower, self._ownership, self._advice)
        self._mesh = Mesh(self._replies.answer, self._metrics.observe_peer_message)
        self._front = Front(self._store, self._follower, self._ownership, self._mesh, self._metrics, self._admission)
        self._peer_feed = PeerFeed(self._follower, self._mesh)
        self._membership = Membership(
            self._member,
            self._store,
            self._timing,
            self._follower,
            self._peer_feed,
            self._mesh,
            self._authority,
            self._electorate,
            self._ownership.observe_newer_epoch,
        )
        self._replies.membership = self._membership
        self._replies.admission = self._admission
        self._front_server = HttpServer(
            self._front.answer,
            max_connections=max(64, settings.max_fds - _RESERVED_FDS),
        )
        self._internal_server = HttpServer(self._answer_internal)
        self._metrics_server = HttpServer(self._answer_internal)
        self._is_stopping = False

    async def run(self) -> None:
        """Serve until asked to stop, then shut down gracefully."""
        if self._signals.is_stop_pending:
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._log_writer.run)
            tasks.start_soon(self._mesh.run, self._settings.ip, self._settings.peer_ports[0])
            tasks.start_soon(self._store_feed.run)
            tasks.start_soon(self._peer_feed.run)
            tasks.start_soon(probe_store, self._store)
            await self._listen()
            log_event('started', domain=self._settings.domain, incarnation=self._member.incarnation)
            tasks.start_soon(self._ownership.run)
            tasks.start_soon(self._membership.register)
            tasks.start_soon(self._send_hello_to_owners)
            tasks.start_soon(self._run_owner_when_elected)
            tasks.start_soon(self._apply_http_limits)
            tasks.start_soon(self._watch_settings)
            await self._handle_signals(tasks)
        self._log_writer.flush()

    def _observe_store_call(self, call: str, outcome: str, took_s: float, answer_bytes: int) -> None:
        """Record a call to the store in the metrics and in the lengths of its outages."""
        self._metrics.observe_store_call(call, outcome, took_s, answer_bytes)
        self._admission.observe_store_call(call, outcome, took_s)

    def _make_digest(self, owner: PoolOwner) -> bytes:
        """Return the digest to send to the other instances, which this one uses as well."""
        digest = owner.make_digest()
        if digest:
            self._admission.receive_digest(owner.epoch, digest)
        return digest

    async def _listen(self) -> None:
        """Listen for client requests, readiness checks and, if a port is configured, metrics."""
        await self._front_server.listen(self._settings.front)
        await self._internal_server.listen(self._settings.ready)
        port = self._own_settings.metrics.port
        if not port:
            return
        try:
            await self._metrics_server.listen(Address(self._settings.ip, port))
        except OSError as error:
            log_event('metrics_port_taken', port=port, why=str(error))

    async def _answer_internal(self, request: Request) -> Response:
        """Answer requests for readiness, metrics and status."""
        if request.path == '/metrics':
            return Response(200, self._metrics.render(), content_type='text/plain; version=0.0.4')
        if request.path == '/status':
            status = build_status(self._ownership, self._follower, self._store, self._replies.owner)
            return Response(200, msgspec.json.encode(status))
        if request.path != '/ready':
            return Response(404)
        is_ready = self._follower.current is not None and not self._is_stopping
        return Response(200 if is_ready else 503)

    async def _run_owner_when_elected(self) -> None:
        """Run the pool owner whenever this instance owns the pool."""
        while True:
            changed = self._ownership.changed
            if not self._ownership.is_owner:
                await changed.wait()
                continue
            await self._run_owner(self._ownership.owner.epoch if self._ownership.owner else 0)

    async def _run_owner(self, epoch: int) -> None:
        """Run the pool owner for one epoch, until it is deposed."""
        owner = PoolOwner(
            OwnerSettings(
                epoch, self._settings.bounds, self._timing, self._own_settings, self._ownership.predecessors_end_s
            ),
            self._store,
            WorkerClient(self._http),
            partial(policy_queries, self._advice, self._mesh, self._membership),
            self._metrics,
            self._authority,
            partial(available_relays, self._mesh, self._membership),
        )
        self._replies.owner = owner
        self._metrics.is_owner.set(1)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._forward_configuration, owner)
                tasks.start_soon(self._membership.send_heartbeats, epoch, partial(self._make_digest, owner))
                tasks.start_soon(self._membership.maintain, epoch, partial(self._has_replaced_predecessors, owner))
                tasks.start_soon(self._depose_when_replaced, owner, epoch)
                await owner.run()
                tasks.cancel_scope.cancel()
        finally:
            self._replies.owner = None
            self._metrics.is_owner.set(0)
        if owner.is_deposed:
            self._ownership.step_down()

    def _has_replaced_predecessors(self, owner: PoolOwner) -> bool:
        """Return whether previous owners have lost their authority, or have no worker left that obeys them."""
        return self._ownership.have_predecessors_ended(steady_s()) or owner.has_fenced_workers

    async def _depose_when_replaced(self, owner: PoolOwner, epoch: int) -> None:
        """Depose the pool owner once its epoch has ended."""
        while True:
            changed = self._ownership.changed
            known = self._ownership.owner
            if known is None or not self._ownership.is_owner or known.epoch != epoch:
                owner.depose()
                return
            await changed.wait()

    async def _forward_configuration(self, owner: PoolOwner) -> None:
        """Pass each new configuration to the pool owner."""
        while True:
            changed = self._follower.changed
            if self._follower.current is not None:
                owner.set_configuration(self._follower.current)
            await changed.wait()

    async def _send_hello_to_owners(self) -> None:
        """Announce this instance, and the jobs that its writes may still add, to each new owner."""
        while True:
            changed = self._ownership.changed
            owner = self._ownership.owner
            if owner is not None and not self._ownership.is_owner:
                self._membership.send_hello(owner.member)
                for job_id in self._admission.unanswered_jobs():
                    self._mesh.send((owner.member.host, owner.member.port), UnansweredWrite(job_id))
            await changed.wait()

    async def _apply_http_limits(self) -> None:
        """Apply the request size limits of each new configuration."""
        while True:
            changed = self._follower.changed
            if self._follower.current is not None:
                limits = self._follower.current.limits
                self._front_server.max_header_bytes = limits.header_bytes
                self._front_server.max_body_bytes = limits.body_bytes
            await changed.wait()

    async def _watch_settings(self) -> None:
        """Reload the settings file when it changes, also without SIGHUP."""
        while True:
            await anyio.sleep(_SETTINGS_POLL_INTERVAL_S)
            self._reload_settings('file')

    def _reload_settings(self, cause: str) -> None:
        try:
            settings = read_settings(self._path)
        except (OSError, SettingsError) as error:
            log_event('settings_unreadable', cause=cause, why=str(error))
            return
        if settings != self._settings:
            log_event('settings_reloaded', cause=cause)
            self._settings = settings

    async def _handle_signals(self, tasks: TaskGroup) -> None:
        """Handle each signal until the shutdown that the first request to stop begins is complete."""
        while True:
            received = await self._signals.receive()
            if self._is_stopping:
                log_event('signal_ignored', signal=received.name, why='the instance is stopping')
            elif received in STOP_SIGNALS:
                self._is_stopping = True
                tasks.start_soon(self._stop, tasks)
            else:
                self._reload_settings('signal')

    async def _stop(self, tasks: TaskGroup) -> None:
        """Release the pool, wait until the load balancer has removed this instance, and finish open requests."""
        started_s = time.monotonic()
        log_event('stopping', is_owner=self._ownership.is_owner)
        with anyio.move_on_after(self._settings.bounds.grace_s / 3):
            await self._ownership.release()
        await anyio.sleep(max(0.0, started_s + _SHUTDOWN_ACCEPT_S - time.monotonic()))
        self._front_server.begin_close()
        deadline_s = started_s + self._settings.bounds.grace_s - _EXIT_MARGIN_S
        while self._front_server.connections and time.monotonic() < deadline_s:
            await anyio.sleep(0.05)
        log_event('stopped', took_s=round(time.monotonic() - started_s, 3))
        self._front_server.close()
        self._internal_server.close()
        self._metrics_server.close()
        tasks.cancel_scope.cancel()
