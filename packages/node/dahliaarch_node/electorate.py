"""The electorate: the instances whose agreement an owner needs in order to go on without the store.

Any instance that reaches the store can claim the pool once the owner's lease has ended. An owner
that has lost the store can therefore only go on while every such instance agrees. Because it can't
know which instances start meanwhile, the store holds the names of those that it counts on; an
instance that claims the pool without being among them waits for the longest time that the previous
owner may have gone on without it.
"""

from collections.abc import Set

from dahliaarch_kernel.codec import decode, encode
from dahliaarch_kernel.errors import ProtocolError
from dahliaarch_platform.store import (
    CommitStatus,
    Condition,
    Item,
    STORE_FAILURES,
    StoreClient,
    Write,
)

from .logs import log_event
from .records import ELECTORATE_KEY, ElectorateRecord, OWNER_KEY
from .timing import StoreTiming


class Electorate:
    """The stored electorate, as this instance last read or wrote it.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    timing : StoreTiming
        Timeouts of store calls.

    Attributes
    ----------
    instances : frozenset of str
        Names of the instances, including those of a write whose outcome is unknown.
    """

    def __init__(self, store: StoreClient, timing: StoreTiming) -> None:
        """Initialize without instances."""
        self.instances: frozenset[str] = frozenset()
        self._revision = 0
        self._epoch = 0
        self._store = store
        self._timing = timing

    @property
    def exists(self) -> bool:
        """Whether the store holds an electorate: no instance has owned the pool before it does."""
        return self._revision > 0

    @property
    def newest_epoch(self) -> int:
        """Epoch of the newest owner at the time of the last read, even if its lease has ended since."""
        return self._epoch

    async def read(self) -> None:
        """Read the electorate from the store.

        Raises
        ------
        StoreRefusedError, StoreUnreachableError, StoreUnansweredError, ProtocolError
            If the store gave no valid answer.
        """
        self._record(await self._store.get(ELECTORATE_KEY, timeout_s=self._timing.call_timeout_s))

    def condition(self) -> Condition:
        """Return the condition that the electorate is as it was last read."""
        return Condition(ELECTORATE_KEY, self._revision)

    def claim_write(self, instance: str) -> Write:
        """Return the write that records a claim of the pool in the electorate.

        The revision of the claim is its epoch, so that the epoch outlasts the owner's key. An
        instance that is not in the electorate does not add itself: the previous owner may still go
        on without its agreement, also when it restarts and claims the pool again.
        """
        instances = self.instances if self.exists else frozenset((instance,))
        return Write(ELECTORATE_KEY, encode(ElectorateRecord(tuple(sorted(instances)))))

    def record_claim(self, instance: str, revision: int) -> None:
        """Record that the write of a claim was committed at a revision."""
        if not self.exists:
            self.instances = frozenset((instance,))
        self._revision = revision
        self._epoch = revision

    async def replace(self, instances: frozenset[str], epoch: int) -> None:
        """Replace the electorate on the condition that the owner of an epoch still owns the pool.

        Until the store has answered, both the previous instances and the new ones count.
        """
        previous = self.instances
        self.instances = previous | instances
        write = Write(ELECTORATE_KEY, encode(ElectorateRecord(tuple(sorted(instances)), epoch)))
        try:
            result = await self._store.commit(
                (Condition(OWNER_KEY, epoch), self.condition()), (write,), timeout_s=self._timing.call_timeout_s
            )
        except STORE_FAILURES as error:
            log_event('electorate_not_written', epoch=epoch, why=str(error))
            return
        if result.status is CommitStatus.DONE:
            log_event('electorate_written', epoch=epoch, instances=sorted(instances), before=sorted(previous))
            self.instances = instances
            self._revision = result.revision
            return
        # An earlier write without an answer has been applied, or another instance has claimed the pool.
        current = next((item for item in result.current if item.key == ELECTORATE_KEY), None)
        if current is not None:
            self._revision = current.revision

    def _record(self, item: Item | None) -> None:
        if item is None:
            return
        try:
            record = decode(item.value, ElectorateRecord, 'electorate')
        except ProtocolError as error:
            # No instance is known to be in it, so that each waits as one outside does.
            log_event('electorate_malformed', revision=item.revision, why=str(error))
            record = ElectorateRecord(())
        self.instances = frozenset(record.instances)
        self._revision = item.revision
        self._epoch = record.epoch or item.revision


def next_electorate(current: Set[str], responsive: Set[str], overdue: Set[str]) -> frozenset[str]:
    """Return the electorate that an owner should store next.

    Answers the failure of instances for good, which would otherwise end the owner's authority in
    every later outage of the store. An instance that is silent may also be cut off together with the
    store: none is removed unless most instances respond, so that an owner on its own removes nobody.

    Parameters
    ----------
    current : set of str
        The stored electorate.
    responsive : set of str
        Instances that reply to heartbeats, and the owner itself.
    overdue : set of str
        Instances of the electorate that have been silent for too long.
    """
    everyone = current | responsive
    if 2 * len(responsive) > len(everyone):
        return frozenset(everyone - overdue)
    return frozenset(everyone)
