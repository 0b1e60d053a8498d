"""Changes to the store, grouped into transactions that exclude evacuated failure domains."""

from collections.abc import Collection, Iterable, Iterator
from typing import NamedTuple

from dahliaarch_kernel.errors import DahliaarchError
from dahliaarch_kernel.scheduler import AssignmentsPart
from dahliaarch_platform.operators import evacuation_key
from dahliaarch_platform.store import Condition, Item, MAX_TRANSACTION_ENTRIES

# Number of entries that a change takes in a transaction: itself and the condition on its key.
_ENTRIES_PER_CHANGE = 2
# Number of entries of a transaction besides those of changes and failure domains: the condition on the owner's key.
_FIXED_ENTRIES = 1
# Maximum number of failure domains whose evacuations one transaction can exclude. Starts in further
# domains rely on the feed of evacuations.
_MAX_DOMAINS_PER_TRANSACTION = MAX_TRANSACTION_ENTRIES - _FIXED_ENTRIES - _ENTRIES_PER_CHANGE


class DomainEvacuatedError(DahliaarchError):
    """Starts were not permitted because operators are evacuating their failure domains.

    Parameters
    ----------
    requests : tuple of Item
        The requests that the store holds.
    """

    def __init__(self, requests: tuple[Item, ...]) -> None:
        """Name the keys of the requests."""
        super().__init__(', '.join(request.key for request in requests))
        self.requests = requests


class Change(NamedTuple):
    """A write to a key or, if `value` is None, its removal.

    Parameters
    ----------
    key : str
        The key.
    value : bytes or None
        Its new value.
    part : AssignmentsPart or None
        The assignments that are written.
    domains : frozenset of str
        Failure domains in which tasks are started once these assignments are persisted.
    """

    key: str
    value: bytes | None
    part: AssignmentsPart | None = None
    domains: frozenset[str] = frozenset()


def batches(changes: Iterable[Change]) -> Iterator[list[Change]]:
    """Group changes, in order, into as few transactions as hold them and the conditions on their failure domains."""
    batch: list[Change] = []
    for change in changes:
        if batch and _count_entries([*batch, change]) > MAX_TRANSACTION_ENTRIES:
            yield batch
            batch = []
        batch.append(change)
    if batch:
        yield batch


def _count_entries(batch: Collection[Change]) -> int:
    return _FIXED_ENTRIES + len(domain_conditions(batch)) + _ENTRIES_PER_CHANGE * len(batch)


def domain_conditions(batch: Iterable[Change]) -> list[Condition]:
    """Return the conditions that no failure domain is evacuated in which a batch starts tasks."""
    domains = sorted({domain for change in batch for domain in change.domains})
    keys = [evacuation_key(domain) for domain in domains]
    return [Condition(key, 0) for key in keys if key is not None][:_MAX_DOMAINS_PER_TRANSACTION]
