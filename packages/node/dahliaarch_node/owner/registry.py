"""Links to all known workers, and what is acknowledged to each."""

from collections import Counter
from collections.abc import Iterable, Mapping
from operator import attrgetter
from typing import NamedTuple

from anyio.abc import TaskGroup

from dahliaarch_kernel.scheduler import WorkerState
from dahliaarch_platform.incarnations import WorkerIncarnation
from dahliaarch_platform.settings import Address

from ..logs import log_event
from ..records import RosterEntry
from .link_settings import LinkContext
from .links import WorkerLink
from .messages import WorkerListed

# How late an order that got no answer may be carried out, in seconds.
_LATEST_S = 12.0
# Incarnations of one worker that an owner may meet, for the numbers that its orders carry.
_INCARNATIONS_PER_EPOCH = 1 << 10


def fence_of(epoch: int, incarnations: int) -> int:
    """Return the number that orders to an incarnation of a worker carry.

    It grows with the owners and, under one owner, with the incarnations of a worker: an
    order for an earlier incarnation that is carried out late is refused by the later one.
    """
    return epoch * _INCARNATIONS_PER_EPOCH + min(incarnations, _INCARNATIONS_PER_EPOCH - 1)


def epoch_of(fence: int) -> int:
    """Return the epoch of the owner whose orders carry a fence."""
    return fence // _INCARNATIONS_PER_EPOCH


class Links:
    """Links by incarnation of a worker; one at a time under each name.

    A worker that starts again may keep its name. Which incarnation answers is known from
    its answers alone: entries come late, and those of an earlier incarnation after those
    of a later one. So an entry of another incarnation than the one that is known counts
    once that one is over.

    Parameters
    ----------
    context : LinkContext
        What every link uses.
    """

    def __init__(self, context: LinkContext) -> None:
        """Start without links."""
        self._context = context
        self._link_by_id: dict[str, WorkerLink] = {}
        self._link_by_name: dict[str, WorkerLink] = {}
        self._incarnations_by_name: Counter[str] = Counter()
        self._entry_by_name: dict[str, WorkerListed] = {}
        # Earlier incarnations to which an acknowledgement was sent that their next ones may have carried out.
        self._unanswered_by_name: dict[str, _Unanswered] = {}
        self._given_up_by_address: dict[Address, str] = {}
        # Workers of which the store may hold that nothing runs there, whichever incarnation of them it names.
        self._lapsed_number_by_name: dict[str, int] = {}

    def get(self, worker_id: str) -> WorkerLink | None:
        """Return the link to an incarnation of a worker, if there is one."""
        return self._link_by_id.get(worker_id)

    def named(self, name: str) -> WorkerLink | None:
        """Return the link to the worker of a name, if there is one."""
        return self._link_by_name.get(name)

    def name_of(self, worker_id: str) -> str:
        """Return the name under which a worker publishes itself, by one of its incarnations."""
        link = self._link_by_id.get(worker_id)
        return worker_id if link is None else link.incarnation.name

    def open(
        self, worker: WorkerState, incarnation: WorkerIncarnation, address: Address, tasks: TaskGroup
    ) -> WorkerLink:
        """Return the link to an incarnation of a worker, started if it is new."""
        link = self._link_by_id.get(worker.worker_id)
        if link is None:
            self._incarnations_by_name[incarnation.name] += 1
            fence = fence_of(self._context.epoch, self._incarnations_by_name[incarnation.name])
            link = WorkerLink(incarnation, address, worker.lease, self._context, fence)
            earlier = self._unanswered_by_name.get(incarnation.name)
            link.may_hide_ends = earlier is not None
            link.is_trusted_at_work = earlier is not None and not earlier.is_known
            worker.is_lapsed = worker.is_lapsed or incarnation.name in self._lapsed_number_by_name
            self._link_by_id[worker.worker_id] = link
            self._link_by_name[incarnation.name] = link
            tasks.start_soon(link.run)
        return link

    def close(self, worker_id: str) -> None:
        """Close the link to an incarnation of a worker, if any; an entry of another one may be taken in now."""
        link = self._link_by_id.pop(worker_id, None)
        if link is None:
            return
        link.close()
        self._note_unanswered(link)
        if self._link_by_name.get(link.incarnation.name) is link:
            del self._link_by_name[link.incarnation.name]
        entry = self._entry_by_name.get(link.incarnation.name)
        if entry is not None and entry.incarnation != link.incarnation:
            self._context.post(entry)

    @property
    def longest_late_s(self) -> float:
        """How long a late start may run after it was sent: it comes late and has the longest lease."""
        return _LATEST_S + self._context.settings.hold_s

    def keep_entry(self, entry: WorkerListed) -> None:
        """Keep the entry that was read last under a worker's name."""
        self._entry_by_name[entry.incarnation.name] = entry

    def forget_entry(self, name: str) -> None:
        """Forget an entry that is gone, or can't be read any more."""
        self._entry_by_name.pop(name, None)

    def close_all_but(self, known: Mapping[str, WorkerState]) -> None:
        """Close links to workers that the scheduler has given up."""
        for worker_id in self._link_by_id.keys() - known.keys():
            log_event('worker_given_up', worker=worker_id)
            self._given_up_by_address[self._link_by_id[worker_id].address] = worker_id
            self.close(worker_id)

    def take_predecessor(self, worker_id: str) -> str | None:
        """Return, once, the incarnation that was given up at the address where a worker has answered: it is over."""
        link = self._link_by_id.get(worker_id)
        former = None if link is None else self._given_up_by_address.pop(link.address, None)
        return None if former == worker_id else former

    def roster(self, known: Mapping[str, WorkerState]) -> list[RosterEntry]:
        """Return the workers that the next owner must ask."""
        return [
            self._roster_entry(known[worker_id], link)
            for worker_id, link in sorted(self._link_by_id.items())
            if worker_id in known
        ]

    def inherit_lapsed(self, worker: WorkerState) -> None:
        """Take in that the store holds that nothing runs on a worker."""
        worker.is_lapsed = True
        self._lapsed_number_by_name[self.name_of(worker.worker_id)] = 0

    def note_offered(self, roster: Iterable[RosterEntry], number: int) -> None:
        """Record the number of a roster that may reach the store from now on."""
        lapsed = (entry.known_incarnation.name for entry in roster if entry.is_lapsed)
        self._lapsed_number_by_name.update(dict.fromkeys(lapsed, number))

    def readmit(self, known: Mapping[str, WorkerState], kept_number: int) -> None:
        """Let workers that have answered get starts again, once the store holds a roster without their marks.

        Parameters
        ----------
        known : mapping
            Workers by id.
        kept_number : int
            Number of the latest roster that the store surely holds.
        """
        numbers = self._lapsed_number_by_name
        self._lapsed_number_by_name = {name: numbers[name] for name in numbers if numbers[name] >= kept_number}
        for worker in known.values():
            if worker.is_lapsed and worker.is_reporting:
                worker.is_lapsed = self.name_of(worker.worker_id) in self._lapsed_number_by_name

    def _listed_incarnation(self, link: WorkerLink) -> WorkerIncarnation:
        """Return the incarnation that the next owner reads: it probes the same successors as this one does."""
        earlier = self._unanswered_by_name.get(link.incarnation.name)
        return earlier.incarnation if earlier is not None and link.may_hide_ends else link.incarnation

    @property
    def has_unkept_ends(self) -> bool:
        """Whether ends were taken in that are not acknowledged yet."""
        return any(link.processed > link.acknowledged for link in self._link_by_id.values())

    def ends_taken_in(self) -> dict[str, int]:
        """Return, by worker, the number of the last end taken in."""
        return {worker_id: link.processed for worker_id, link in self._link_by_id.items()}

    def acknowledge(self, mark: dict[str, int]) -> None:
        """Let ends up to a mark be acknowledged: they are kept."""
        for worker_id, number in mark.items():
            link = self._link_by_id.get(worker_id)
            if link is not None:
                link.acknowledge(number)

    def _roster_entry(self, worker: WorkerState, link: WorkerLink) -> RosterEntry:
        is_lapsed = worker.is_lapsed and not worker.is_reporting and not worker.run_by_key
        incarnation = self._listed_incarnation(link)
        profile = worker.profile._replace(worker_id=incarnation.worker_id, leaves_in_s=None)
        return RosterEntry(profile, link.address, incarnation, is_lapsed)

    def _note_unanswered(self, link: WorkerLink) -> None:
        """Note an incarnation whose next one may carry out an acknowledgement meant for it, or an earlier one."""
        name = link.incarnation.name
        earlier = self._unanswered_by_name.pop(name, None)
        sent = [
            _Unanswered(link.unanswered_at_s + _LATEST_S, is_known=True, incarnation=link.incarnation),
            _Unanswered(link.inherited_at_s + _LATEST_S, is_known=False, incarnation=link.incarnation),
        ]
        if earlier is not None:
            sent.append(earlier._replace(incarnation=link.incarnation))
        late = [each for each in sent if link.last_contact_s < each.until_s]
        if late:
            self._unanswered_by_name[name] = max(late, key=attrgetter('is_known', 'until_s'))


class _Unanswered(NamedTuple):
    """Until when an acknowledgement to an incarnation of a worker may be carried out, after its end too.

    Parameters
    ----------
    until_s : float
        Until when, steady clock.
    is_known : bool
        Whether this owner sent it; else the one before may have.
    incarnation : WorkerIncarnation
        The last incarnation that has ended.
    """

    until_s: float
    is_known: bool
    incarnation: WorkerIncarnation
