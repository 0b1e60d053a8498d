"""Registry of the links to all known workers, and the run ends acknowledged on each."""

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

# Maximum delay, in seconds, after which a worker may still carry out an unanswered order.
_MAX_ORDER_DELAY_S = 12.0
# Number of fences reserved for each epoch: one for each incarnation of a worker that an owner may encounter.
_INCARNATIONS_PER_EPOCH = 1 << 10


def fence_of(epoch: int, incarnations: int) -> int:
    """Return the fence (fencing token) that orders to an incarnation of a worker carry.

    Fences increase with the epoch and, within one epoch, with the incarnations of a worker,
    so a later incarnation refuses a delayed order that was sent to an earlier one.
    """
    return epoch * _INCARNATIONS_PER_EPOCH + min(incarnations, _INCARNATIONS_PER_EPOCH - 1)


def epoch_of(fence: int) -> int:
    """Return the epoch of the owner that issued a fence."""
    return fence // _INCARNATIONS_PER_EPOCH


class LinkRegistry:
    """Links by worker incarnation, with at most one open link per worker name.

    A restarted worker may keep its name. Only a worker's answers tell which incarnation is
    running: its entries arrive late, and those of an earlier incarnation may arrive after
    those of a later one. An entry of another incarnation than the known one is therefore
    applied only once the known one has ended.

    Parameters
    ----------
    context : LinkContext
        Dependencies and settings shared by all links.
    """

    def __init__(self, context: LinkContext) -> None:
        """Start without links."""
        self._context = context
        self._link_by_id: dict[str, WorkerLink] = {}
        self._link_by_name: dict[str, WorkerLink] = {}
        self._incarnations_by_name: Counter[str] = Counter()
        self._entry_by_name: dict[str, WorkerListed] = {}
        # By name, an earlier incarnation's unanswered acknowledgement that its successor may have carried out.
        self._unanswered_by_name: dict[str, _UnansweredAcknowledgement] = {}
        self._given_up_by_address: dict[Address, str] = {}
        # By name, for workers that the store may mark as lapsed under any incarnation: the latest such roster version.
        self._lapsed_roster_version_by_name: dict[str, int] = {}

    def get(self, worker_id: str) -> WorkerLink | None:
        """Return the link to an incarnation of a worker, or None."""
        return self._link_by_id.get(worker_id)

    def find_by_name(self, name: str) -> WorkerLink | None:
        """Return the link to the worker of a name, or None."""
        return self._link_by_name.get(name)

    def name_of(self, worker_id: str) -> str:
        """Return the name under which the worker of an incarnation publishes its entry."""
        link = self._link_by_id.get(worker_id)
        return worker_id if link is None else link.incarnation.name

    def open(
        self, worker: WorkerState, incarnation: WorkerIncarnation, address: Address, tasks: TaskGroup
    ) -> WorkerLink:
        """Return the link to an incarnation of a worker, creating and starting it if necessary."""
        link = self._link_by_id.get(worker.worker_id)
        if link is None:
            self._incarnations_by_name[incarnation.name] += 1
            fence = fence_of(self._context.epoch, self._incarnations_by_name[incarnation.name])
            link = WorkerLink(incarnation, address, worker.lease, self._context, fence)
            earlier = self._unanswered_by_name.get(incarnation.name)
            link.may_hide_ends = earlier is not None
            link.is_probed_if_running = earlier is not None and not earlier.is_own
            worker.is_lapsed = worker.is_lapsed or incarnation.name in self._lapsed_roster_version_by_name
            self._link_by_id[worker.worker_id] = link
            self._link_by_name[incarnation.name] = link
            tasks.start_soon(link.run)
        return link

    def close(self, worker_id: str) -> None:
        """Close the link to an incarnation of a worker, if any, and post a pending entry of another incarnation."""
        link = self._link_by_id.pop(worker_id, None)
        if link is None:
            return
        link.close()
        self._record_unanswered(link)
        if self._link_by_name.get(link.incarnation.name) is link:
            del self._link_by_name[link.incarnation.name]
        entry = self._entry_by_name.get(link.incarnation.name)
        if entry is not None and entry.incarnation != link.incarnation:
            self._context.post(entry)

    @property
    def max_late_run_s(self) -> float:
        """Maximum time after its sending until which a delayed start may run: its delay plus the longest lease."""
        return _MAX_ORDER_DELAY_S + self._context.settings.max_lease_s

    def save_entry(self, entry: WorkerListed) -> None:
        """Store the latest entry read under a worker's name."""
        self._entry_by_name[entry.incarnation.name] = entry

    def forget_entry(self, name: str) -> None:
        """Discard an entry that was removed or can no longer be decoded."""
        self._entry_by_name.pop(name, None)

    def close_all_but(self, known: Mapping[str, WorkerState]) -> None:
        """Close the links to workers that the scheduler no longer tracks."""
        for worker_id in self._link_by_id.keys() - known.keys():
            log_event('worker_given_up', worker=worker_id)
            self._given_up_by_address[self._link_by_id[worker_id].address] = worker_id
            self.close(worker_id)

    def pop_predecessor(self, worker_id: str) -> str | None:
        """Return and forget the incarnation that was given up at a worker's address.

        It has ended, because another incarnation answers at that address.
        """
        link = self._link_by_id.get(worker_id)
        former = None if link is None else self._given_up_by_address.pop(link.address, None)
        return None if former == worker_id else former

    def roster(self, known: Mapping[str, WorkerState]) -> list[RosterEntry]:
        """Return the workers that the next owner must survey."""
        return [
            self._roster_entry(known[worker_id], link)
            for worker_id, link in sorted(self._link_by_id.items())
            if worker_id in known
        ]

    def mark_inherited_lapsed(self, worker: WorkerState) -> None:
        """Mark a worker as lapsed because the stored roster says that nothing is running on it."""
        worker.is_lapsed = True
        self._lapsed_roster_version_by_name[self.name_of(worker.worker_id)] = 0

    def record_lapsed(self, roster: Iterable[RosterEntry], number: int) -> None:
        """Record the version of a roster that may be written from now on, for each worker it marks as lapsed."""
        lapsed = (entry.known_incarnation.name for entry in roster if entry.is_lapsed)
        self._lapsed_roster_version_by_name.update(dict.fromkeys(lapsed, number))

    def readmit(self, known: Mapping[str, WorkerState], persisted_version: int) -> None:
        """Allow starts on workers that answer again, once the stored roster no longer marks them as lapsed.

        Parameters
        ----------
        known : mapping
            Workers by id.
        persisted_version : int
            Version of the latest roster that the store is known to hold.
        """
        numbers = self._lapsed_roster_version_by_name
        self._lapsed_roster_version_by_name = {
            name: numbers[name] for name in numbers if numbers[name] >= persisted_version
        }
        for worker in known.values():
            if worker.is_lapsed and worker.is_reporting:
                worker.is_lapsed = self.name_of(worker.worker_id) in self._lapsed_roster_version_by_name

    def _roster_incarnation(self, link: WorkerLink) -> WorkerIncarnation:
        """Return the incarnation to list on the roster, from which the next owner probes the same successors."""
        earlier = self._unanswered_by_name.get(link.incarnation.name)
        return earlier.incarnation if earlier is not None and link.may_hide_ends else link.incarnation

    @property
    def has_unacknowledged_ends(self) -> bool:
        """Whether any processed end has not been acknowledged yet."""
        return any(link.last_processed_end > link.last_acknowledged_end for link in self._link_by_id.values())

    def last_processed_ends(self) -> dict[str, int]:
        """Return, by worker, the number of the last processed end."""
        return {worker_id: link.last_processed_end for worker_id, link in self._link_by_id.items()}

    def acknowledge(self, processed_ends: dict[str, int]) -> None:
        """Allow ends up to the given numbers to be acknowledged, since they are persisted."""
        for worker_id, number in processed_ends.items():
            link = self._link_by_id.get(worker_id)
            if link is not None:
                link.acknowledge(number)

    def _roster_entry(self, worker: WorkerState, link: WorkerLink) -> RosterEntry:
        is_lapsed = worker.is_lapsed and not worker.is_reporting and not worker.run_count
        incarnation = self._roster_incarnation(link)
        profile = worker.profile._replace(worker_id=incarnation.worker_id, leaves_in_s=None)
        return RosterEntry(profile, link.address, incarnation, is_lapsed)

    def _record_unanswered(self, link: WorkerLink) -> None:
        """Record a closed incarnation if a successor may still carry out an acknowledgement sent to it or before."""
        name = link.incarnation.name
        earlier = self._unanswered_by_name.pop(name, None)
        acknowledgements = [
            _UnansweredAcknowledgement(
                link.unanswered_acknowledgement_s + _MAX_ORDER_DELAY_S, is_own=True, incarnation=link.incarnation
            ),
            _UnansweredAcknowledgement(
                link.inherited_s + _MAX_ORDER_DELAY_S, is_own=False, incarnation=link.incarnation
            ),
        ]
        if earlier is not None:
            acknowledgements.append(earlier._replace(incarnation=link.incarnation))
        unexpired = [each for each in acknowledgements if link.last_contact_s < each.until_s]
        if unexpired:
            self._unanswered_by_name[name] = max(unexpired, key=attrgetter('is_own', 'until_s'))


class _UnansweredAcknowledgement(NamedTuple):
    """An acknowledgement to a worker that may still be carried out after the addressed incarnation has ended.

    Parameters
    ----------
    until_s : float
        Time until which it may be carried out, on the steady clock.
    is_own : bool
        Whether this owner sent it; if False, the previous owner may have sent one.
    incarnation : WorkerIncarnation
        The last incarnation that has ended.
    """

    until_s: float
    is_own: bool
    incarnation: WorkerIncarnation
