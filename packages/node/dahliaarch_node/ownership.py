"""Leader election: which instance owns the pool.

The owner's key in the store is bound to a lease. The key's revision is the owner's epoch. It
increases with every owner, is a condition of every write of the owner and serves as the fencing
token that workers compare.
"""

from typing import NamedTuple

import anyio

from dahliaarch_kernel.codec import decode, encode
from dahliaarch_platform.store import (
    CommitStatus,
    Condition,
    Item,
    STORE_FAILURES,
    StoreClient,
    StoreUnansweredError,
    Write,
)

from .authority import Authority, MAX_OUTAGE_S
from .clock import steady_s
from .electorate import Electorate
from .logs import log_event
from .records import Member, OWNER_KEY
from .timing import StoreTiming
from .watching import watch_prefix


class OwnershipSettings(NamedTuple):
    """Durations for the owner's lease, in seconds.

    Parameters
    ----------
    lease_s : float
        Duration of the lease, and so the time until the failure of an owner is detected.
    keep_every_s : float
        Interval between renewals; with the defaults, three may be lost before the lease ends.
    claim_delay_s : float
        How long other instances wait before they claim a key that was removed, so that an owner
        whose lease expired during an outage of the store can claim it again first.
    slow_claim_delay_s : float
        The same delay on an instance with few resources, which also waits when it has just started:
        when all instances restart together, one with more resources owns the pool soonest.
    outsider_claim_delay_s : float
        The same delay, in addition, on an instance outside the electorate, which would have to wait
        for `max_outage_s` before it starts the tasks of silent workers again.
    max_outage_s : float
        How long an owner may go on without the store while the whole electorate agrees.
    """

    lease_s: float = 2.0
    keep_every_s: float = 0.6
    claim_delay_s: float = 0.15
    slow_claim_delay_s: float = 0.4
    outsider_claim_delay_s: float = 0.5
    max_outage_s: float = MAX_OUTAGE_S


class Owner(NamedTuple):
    """The instance that owns the pool, and its epoch."""

    member: Member
    epoch: int


class Ownership:
    """Claims the pool when it has no owner, renews the lease while owning it, and tracks the current owner.

    Parameters
    ----------
    member : Member
        This instance.
    store : StoreClient
        Client of the store.
    timing : StoreTiming
        Timeouts and retry pauses of store calls.
    settings : OwnershipSettings
        Durations for the lease.
    authority : Authority
        Confirmed by each successful claim and renewal of the lease.
    electorate : Electorate
        Read at each claim of the pool.
    is_preferred : bool
        Whether this instance has enough resources to claim the pool after the shorter delay.
    """

    def __init__(
        self,
        member: Member,
        store: StoreClient,
        timing: StoreTiming,
        settings: OwnershipSettings,
        authority: Authority,
        electorate: Electorate,
        *,
        is_preferred: bool,
    ) -> None:
        """Initialize without a known owner."""
        self.owner: Owner | None = None
        self.changed = anyio.Event()
        self.is_leaving = False
        self._member = member
        self._store = store
        self._timing = timing
        self._settings = settings
        self._authority = authority
        self._electorate = electorate
        # Whether the last claim of this instance was made from within the electorate.
        self._is_elector = True
        self._claimed_s = 0.0
        # Epoch of the newest owner known, whether or not it still owns the pool.
        self._newest_epoch = 0
        self._is_preferred = is_preferred
        self._claim_delay_s = settings.claim_delay_s if is_preferred else settings.slow_claim_delay_s
        self._lease = 0
        self._had_owner = False

    @property
    def is_owner(self) -> bool:
        """Whether this process is the last known owner of the pool."""
        return self.owner is not None and self.owner.member == self._member

    @property
    def predecessors_end_s(self) -> float:
        """Time after a claim of this instance by which the authority of previous owners has ended, in seconds."""
        return self._settings.lease_s + (0.0 if self._is_elector else self._settings.max_outage_s)

    def have_predecessors_ended(self, now_s: float) -> bool:
        """Return whether the authority of the owners before this one has certainly ended."""
        return self._is_elector or now_s > self._claimed_s + self.predecessors_end_s

    @property
    def newest_epoch(self) -> int:
        """Epoch of the newest owner that this instance knows of, whether or not it still owns the pool; 0 for none.

        A process that has just started may not know of an owner that its previous process knew or was. An
        outdated owner that it lets go on starts nothing, since the store refuses its writes, and renews no
        lease that an owner after it took to have ended.
        """
        return self._newest_epoch

    def observe(self, owner: Owner) -> None:
        """Record the owner of the pool; an epoch that is not newer is ignored."""
        if owner.epoch < self._newest_epoch or (self.owner is not None and owner.epoch <= self.owner.epoch):
            return
        self._newest_epoch = owner.epoch
        log_event('owner_known', owner=owner.member.instance, epoch=owner.epoch)
        self.owner = owner
        self._had_owner = True
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def step_down(self) -> None:
        """Give up a pool that was released or that another owner has taken; the new owner is learned later."""
        if self.is_owner:
            log_event('ownership_lost', epoch=0 if self.owner is None else self.owner.epoch)
            self._clear_owner()

    def observe_newer_epoch(self, newer_epoch: int) -> None:
        """Step down if another instance has reported a newer owner, even if its identity is not known yet.

        The report is acted on at once because that instance may restart and no longer know the
        newer owner when it is asked again.
        """
        self._newest_epoch = max(self._newest_epoch, newer_epoch)
        if self.is_owner and self.owner is not None and self.owner.epoch < newer_epoch:
            log_event('owner_outdated', epoch=self.owner.epoch, newer=newer_epoch)
            self.step_down()

    async def run(self) -> None:
        """Claim the pool, renew the lease or watch the owner's key, until cancelled."""
        while True:
            try:
                await self._run_once()
            except STORE_FAILURES as error:
                log_event('owner_key_unreachable', why=str(error), is_own=self.is_owner)
                await anyio.sleep(self._timing.retry_pause_s())

    async def release(self) -> None:
        """Release the pool for a planned shutdown, so that another instance can claim it at once."""
        self.is_leaving = True
        if not self.is_owner or not self._lease:
            return
        try:
            await self._store.revoke_lease(self._lease, timeout_s=self._timing.call_timeout_s)
        except STORE_FAILURES as error:
            log_event('ownership_not_released', why=str(error))
        self.step_down()

    async def _run_once(self) -> None:
        if self.is_owner and self._lease:
            await self._keep_lease()
            return
        item = await self._store.get(OWNER_KEY, timeout_s=self._timing.call_timeout_s)
        if item is None:
            await self._claim_absent_key()
            return
        self._newest_epoch = max(self._newest_epoch, item.revision)
        found = decode(item.value, Member, 'member')
        if found == self._member:
            # A claim of this process that was acknowledged late: its lease is no longer known, so claim again.
            await self._claim(item.revision)
            return
        self.observe(Owner(found, item.revision))
        if found.instance == self._member.instance:
            # The owner is a previous process of this instance, which has certainly ended.
            await self._claim(item.revision)
            return
        await self._watch_owner_key(item)

    async def _keep_lease(self) -> None:
        await anyio.sleep(self._settings.keep_every_s)
        if self.is_leaving or not self.is_owner:
            return
        if not self._authority.is_valid(steady_s()):
            # While renewals reach the store and its answers are lost, each would keep the pool from
            # the other instances. A read that gets no answer leaves the lease to end.
            await self._store.get(OWNER_KEY, timeout_s=self._timing.call_timeout_s)
        if await self._renew_lease():
            return
        log_event('owner_lease_over', lease=self._lease)
        self._lease = 0
        # The key was removed with its lease, so conditional writes fail; claim the key again.
        # Until the claim succeeds, workers still accept the orders of this owner.
        item = await self._store.get(OWNER_KEY, timeout_s=self._timing.call_timeout_s)
        if item is None:
            await self._claim(0)
        elif decode(item.value, Member, 'member') != self._member:
            self.step_down()

    async def _renew_lease(self) -> bool:
        """Renew the lease; retry once, without a pause, if the call gets no answer."""
        try:
            return await self._renew_once()
        except StoreUnansweredError as error:
            log_event('owner_lease_unanswered', why=str(error), lease=self._lease)
        return await self._renew_once()

    async def _renew_once(self) -> bool:
        asked_s = steady_s()
        is_kept = await self._store.renew_lease(self._lease, timeout_s=self._timing.renewal_timeout_s)
        if is_kept:
            self._authority.confirm(asked_s)
        return is_kept

    async def _claim_absent_key(self) -> None:
        if self.is_leaving:
            await anyio.sleep(self._timing.mean_retry_pause_s)
            return
        if not self._is_preferred or (self._had_owner and not self.is_owner):
            await anyio.sleep(self._claim_delay_s)
        if self._is_preferred or await self._is_key_absent():
            await self._claim(0)

    async def _is_key_absent(self) -> bool:
        return await self._store.get(OWNER_KEY, timeout_s=self._timing.call_timeout_s) is None

    async def _claim(self, revision: int) -> None:
        """Write the owner's key if it is still at the given revision (0: absent)."""
        if self.is_leaving:
            return
        # The electorate is read after the owner's key, so that no claim falls between the two.
        await self._electorate.read()
        self._newest_epoch = max(self._newest_epoch, self._electorate.newest_epoch)
        self._is_elector = not self._electorate.exists or self._member.instance in self._electorate.instances
        if not self._is_elector:
            await anyio.sleep(self._settings.outsider_claim_delay_s)
        asked_s = steady_s()
        lease = await self._store.grant_lease(self._settings.lease_s, timeout_s=self._timing.call_timeout_s)
        write = Write(OWNER_KEY, encode(self._member), lease)
        try:
            outcome = await self._store.commit(
                [Condition(OWNER_KEY, revision), self._electorate.condition()],
                [write, self._electorate.claim_write(self._member.instance)],
                timeout_s=self._timing.call_timeout_s,
            )
        except StoreUnansweredError:
            await self._verify_claim(lease, asked_s)
            return
        if outcome.status is CommitStatus.DONE:
            self._become_owner(lease, outcome.revision, asked_s)

    async def _verify_claim(self, lease: int, asked_s: float) -> None:
        """Read the owner's key to find out whether a claim without an answer succeeded."""
        item = await self._store.get(OWNER_KEY, timeout_s=self._timing.call_timeout_s)
        if item is not None and decode(item.value, Member, 'member') == self._member:
            self._become_owner(lease, item.revision, asked_s)

    def _become_owner(self, lease: int, epoch: int, asked_s: float) -> None:
        self._electorate.record_claim(self._member.instance, epoch)
        log_event(
            'pool_claimed', epoch=epoch, is_elector=self._is_elector, electorate=sorted(self._electorate.instances)
        )
        self._authority.confirm(asked_s)
        self._claimed_s = steady_s()
        self._lease = lease
        self.observe(Owner(self._member, epoch))

    async def _watch_owner_key(self, item: Item) -> None:
        """Wait until the owner's key changes or is removed, or its history is gone."""
        revision = item.read_at
        while not self.is_owner:
            page = await watch_prefix(self._store, self._timing, OWNER_KEY, revision)
            if page is None:
                await anyio.sleep(self._timing.retry_pause_s())
                return
            if page.items:
                return
            revision = max(revision, page.revision)

    def _clear_owner(self) -> None:
        self.owner = None
        self._lease = 0
        changed, self.changed = self.changed, anyio.Event()
        changed.set()
