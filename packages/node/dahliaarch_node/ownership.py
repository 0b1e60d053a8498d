"""Which instance owns the pool.

The owner's key lies under a lease. Its revision is the owner's epoch: it grows
with every owner, is the condition of every write that the owner makes and the
fence that workers compare.
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

from .authority import Authority
from .clock import steady_s
from .logs import log_event
from .records import Member, OWNER_KEY
from .timing import StoreTiming
from .watching import watch_prefix


class OwnershipSettings(NamedTuple):
    """Times in seconds.

    Parameters
    ----------
    lease_s : float
        Duration of the owner's lease: how long a dead owner goes unnoticed.
    keep_every_s : float
        How often it is renewed; three renewals may be lost.
    claim_delay_s : float
        How long others wait before they claim a key that has gone, so that an
        owner whose lease lapsed during an outage claims it again first.
    slow_claim_delay_s : float
        The same on an instance with few resources.
    """

    lease_s: float = 2.0
    keep_every_s: float = 0.6
    claim_delay_s: float = 0.15
    slow_claim_delay_s: float = 0.4


class Owner(NamedTuple):
    """Who owns the pool, and since which epoch."""

    member: Member
    epoch: int


class Ownership:
    """Claims the pool when nobody owns it and tells who does.

    Parameters
    ----------
    member : Member
        This instance.
    store : StoreClient
        The store.
    timing : StoreTiming
        Timeouts and pauses.
    settings : OwnershipSettings
        Times of the lease.
    authority : Authority
        Confirmed by each grant and renewal of the lease.
    is_able : bool
        Whether this instance has the resources to own the pool.
    """

    def __init__(
        self,
        member: Member,
        store: StoreClient,
        timing: StoreTiming,
        settings: OwnershipSettings,
        authority: Authority,
        *,
        is_able: bool,
    ) -> None:
        """Start without knowing an owner."""
        self.owner: Owner | None = None
        self.changed = anyio.Event()
        self.is_leaving = False
        self._member = member
        self._store = store
        self._timing = timing
        self._settings = settings
        self._authority = authority
        self._delay_s = settings.claim_delay_s if is_able else settings.slow_claim_delay_s
        self._lease = 0
        self._had_owner = False

    @property
    def is_own(self) -> bool:
        """Whether this process owns the pool, as far as it knows."""
        return self.owner is not None and self.owner.member == self._member

    def observe(self, owner: Owner) -> None:
        """Take in who owns the pool; older epochs change nothing."""
        if self.owner is not None and owner.epoch <= self.owner.epoch:
            return
        log_event('owner_known', owner=owner.member.instance, epoch=owner.epoch)
        self.owner = owner
        self._had_owner = True
        changed, self.changed = self.changed, anyio.Event()
        changed.set()

    def record_loss(self) -> None:
        """Give up a pool that another owner has taken; who it is comes later."""
        if self.is_own:
            log_event('ownership_lost', epoch=0 if self.owner is None else self.owner.epoch)
            self._clear()

    def record_newer_epoch(self, newer_epoch: int) -> None:
        """Take in that somebody knows of a newer owner, who is not known here yet.

        Whoever tells so may have forgotten it by the next question.
        """
        if self.is_own and self.owner is not None and self.owner.epoch < newer_epoch:
            log_event('owner_outdated', epoch=self.owner.epoch, newer=newer_epoch)
            self.record_loss()

    async def run(self) -> None:
        """Claim, keep or watch until cancelled."""
        while True:
            try:
                await self._step()
            except STORE_FAILURES as error:
                log_event('owner_key_unreachable', why=str(error), is_own=self.is_own)
                await anyio.sleep(self._timing.retry_pause_s())

    async def release(self) -> None:
        """Give the pool to the others at once, for a planned stop."""
        self.is_leaving = True
        if not self.is_own or not self._lease:
            return
        try:
            await self._store.revoke_lease(self._lease, timeout_s=self._timing.call_timeout_s)
        except STORE_FAILURES as error:
            log_event('ownership_not_released', why=str(error))
        self.record_loss()

    async def _step(self) -> None:
        if self.is_own and self._lease:
            await self._keep()
            return
        item = await self._store.get(OWNER_KEY, timeout_s=self._timing.call_timeout_s)
        if item is None:
            await self._claim_free()
            return
        found = decode(item.value, Member, 'member')
        if found == self._member:
            # Our own claim, acknowledged late: its lease is not known any more.
            await self._claim(item.revision)
            return
        self.observe(Owner(found, item.revision))
        if found.instance == self._member.instance:
            # An earlier process of this instance: it is gone for certain.
            await self._claim(item.revision)
            return
        await self._watch(item)

    async def _keep(self) -> None:
        await anyio.sleep(self._settings.keep_every_s)
        if self.is_leaving or not self.is_own:
            return
        if await self._renew():
            return
        log_event('owner_lease_over', lease=self._lease)
        self._lease = 0
        # The key is gone, and with it the right to write; claim it anew. Until
        # the claim succeeds the workers still take this owner's orders.
        item = await self._store.get(OWNER_KEY, timeout_s=self._timing.call_timeout_s)
        if item is None:
            await self._claim(0)
        elif decode(item.value, Member, 'member') != self._member:
            self.record_loss()

    async def _renew(self) -> bool:
        """Renew the lease, at once again when the first call gets no answer."""
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

    async def _claim_free(self) -> None:
        if self.is_leaving:
            await anyio.sleep(self._timing.mean_retry_pause_s)
            return
        if self._had_owner and not self.is_own:
            await anyio.sleep(self._delay_s)
        await self._claim(0)

    async def _claim(self, revision: int) -> None:
        """Take the key if it still is at a revision (0: absent)."""
        if self.is_leaving:
            return
        asked_s = steady_s()
        lease = await self._store.grant_lease(self._settings.lease_s, timeout_s=self._timing.call_timeout_s)
        write = Write(OWNER_KEY, encode(self._member), lease)
        try:
            outcome = await self._store.commit(
                [Condition(OWNER_KEY, revision)],
                [write],
                timeout_s=self._timing.call_timeout_s,
            )
        except StoreUnansweredError:
            await self._read_back(lease, asked_s)
            return
        if outcome.status is CommitStatus.DONE:
            self._won(lease, outcome.revision, asked_s)

    async def _read_back(self, lease: int, asked_s: float) -> None:
        """Find out whether a claim without an answer has been carried out."""
        item = await self._store.get(OWNER_KEY, timeout_s=self._timing.call_timeout_s)
        if item is not None and decode(item.value, Member, 'member') == self._member:
            self._won(lease, item.revision, asked_s)

    def _won(self, lease: int, epoch: int, asked_s: float) -> None:
        self._authority.confirm(asked_s)
        self._lease = lease
        self.observe(Owner(self._member, epoch))

    async def _watch(self, item: Item) -> None:
        """Wait until the owner's key changes or goes."""
        revision = item.read_at
        while not self.is_own:
            page = await watch_prefix(self._store, self._timing, OWNER_KEY, revision)
            if page is None:
                await anyio.sleep(self._timing.retry_pause_s())
                return
            if page.items:
                return
            revision = max(revision, page.revision)

    def _clear(self) -> None:
        self.owner = None
        self._lease = 0
        changed, self.changed = self.changed, anyio.Event()
        changed.set()
