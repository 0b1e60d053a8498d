"""Whether every instance follows the configuration, held against answers to probes.

An answer is held against what each version says. It must be what a version
allows that is not older than

- the newest one that had to be in force when the request was sent, if its
  instance was bound then (see `contact`); and
- the oldest one that explains an earlier answer of the same incarnation of its process.

Versions that are newer than these are allowed up to the moment of the answer, so
an instance that is ahead of a bound is never blamed. A request that is sent after
an answer of the same incarnation is handled after it, so no slack is needed for the
second. Requests that meet no answer, another incarnation or an instance without any
configuration (503) tell nothing.
"""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from .contact import DisturbanceTracker
from .versions import MALFORMED, NO_ACCESS, NO_ROUTE, Probe, Version
from .violations import Violation

# Until an acknowledged version is in force, in seconds, as the platform sets it;
# longer where links are slow.
APPLY_S = 2.0
SLOW_APPLY_S = 3.0
# By how much that bound grows while the store has forgotten its history.
_HISTORY_LOSS_ALLOWANCE_S = 5.0
_CONCLUSIVE = frozenset((MALFORMED, NO_ACCESS, NO_ROUTE))


class Answer(NamedTuple):
    """An answer to a probe; times in seconds.

    Parameters
    ----------
    name : str
        The instance.
    incarnation : int
        The incarnation of its process.
    probe : Probe
        What was asked.
    status : int
        Status of the answer.
    sent_s : float
        When it was sent.
    wall_s : float
        The same as the daemons log it.
    """

    name: str
    incarnation: int
    probe: Probe
    status: int
    sent_s: float
    wall_s: float = 0.0


class ConfigurationCheck:
    """Checks answers.

    Parameters
    ----------
    versions : sequence of Version
        All that were written; it grows.
    contact : Contact
        Who is held to the bound.
    apply_s : float
        Until an acknowledged version is in force.
    """

    def __init__(self, versions: Sequence[Version], disturbances: DisturbanceTracker, apply_s: float) -> None:
        """Start without answers."""
        self.violations: list[Violation] = []
        # Answers that had to be as a version of late says.
        self.checked = 0
        self._versions = versions
        self._disturbances = disturbances
        self._apply_s = apply_s
        # Number of the oldest version that an instance's incarnation may be at.
        self._floor_by_incarnation: dict[int, int] = defaultdict(int)
        self._reported: set[tuple[str, int]] = set()

    def due(self, now_s: float) -> Version:
        """Return the newest version that has to be in force."""
        bound_s = self._apply_s
        if not self._disturbances.is_store_stable(now_s):
            bound_s += _HISTORY_LOSS_ALLOWANCE_S
        due = [each for each in self._versions if now_s - each.acknowledged_s > bound_s]
        return due[-1] if due else self._versions[0]

    def take(self, answer: Answer) -> None:
        """Check an answer right after it came."""
        if answer.status not in _CONCLUSIVE:
            return
        due = 0
        if self._disturbances.is_held_to_bound(answer.name, answer.sent_s):
            due = self.due(answer.sent_s).number
            self.checked += 1
        matching = tuple(self._matching_versions(answer))
        floor = self._floor_by_incarnation[answer.incarnation]
        for promise, oldest in (('a configuration is in force in time', due), ('no version goes back', floor)):
            if not any(number >= oldest for number in matching):
                self._report(promise, answer, oldest)
        self._floor_by_incarnation[answer.incarnation] = min(
            (number for number in matching if number >= floor), default=floor
        )

    def _matching_versions(self, answer: Answer) -> Iterator[int]:
        return (each.number for each in self._versions if each.expected(answer.probe) == answer.status)

    def _report(self, promise: str, answer: Answer, oldest: int) -> None:
        if (promise, answer.incarnation) in self._reported:
            return
        self._reported.add((promise, answer.incarnation))
        written = next((each.acknowledged_s for each in self._versions if each.number == oldest), answer.sent_s)
        ago_s = answer.sent_s - written
        self.violations.append(
            Violation(
                promise,
                f'{answer.name}: {answer.probe.route} with {answer.probe.key} got {answer.status} '
                f'at {answer.wall_s:.3f}, version {oldest} is {ago_s:.2f} s old',
            )
        )
