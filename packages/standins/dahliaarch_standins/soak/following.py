"""Checks that every instance follows the configuration, from its answers to probes.

Each answer is compared with the answers that the versions of the configuration
prescribe. It must match a version that is not older than

- the newest version that had to be in force when the request was sent, if the instance
  was held to the time bound then (see `contact`); and
- the oldest version that matches an earlier answer of the same incarnation of the process.

Newer versions are allowed up to the moment of the answer, so an instance that applies
a version before the bound is never reported. The second rule needs no tolerance,
because a request that is sent after an answer of the same incarnation is also handled
after it. Requests without an answer, answers of another incarnation and answers of an
instance without any configuration (503) are inconclusive and ignored.
"""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from .contact import DisturbanceTracker
from .versions import MALFORMED, NO_ACCESS, NO_ROUTE, Probe, Version
from .violations import Violation

# Longest time until an acknowledged version is in force, in seconds: the bound that the
# platform sets, and a longer one for soaks with slow links.
APPLY_S = 2.0
SLOW_APPLY_S = 3.0
# Extension of the bound after the store has lost its history, in seconds.
_HISTORY_LOSS_ALLOWANCE_S = 5.0
_CONCLUSIVE = frozenset((MALFORMED, NO_ACCESS, NO_ROUTE))


class Answer(NamedTuple):
    """An answer to a probe; times in seconds.

    Parameters
    ----------
    name : str
        Name of the instance.
    incarnation : int
        Incarnation of its process.
    probe : Probe
        Probe that was sent.
    status : int
        Status of the answer.
    sent_s : float
        When the probe was sent, by the monotonic clock.
    wall_s : float
        The same time by the wall clock, as daemons log it.
    """

    name: str
    incarnation: int
    probe: Probe
    status: int
    sent_s: float
    wall_s: float = 0.0


class ConfigurationCheck:
    """Checks answers to probes against the versions of the configuration.

    Parameters
    ----------
    versions : sequence of Version
        Versions written so far; the caller extends it.
    disturbances : DisturbanceTracker
        Determines which instances are held to the bound.
    apply_s : float
        Longest time until an acknowledged version is in force.
    """

    def __init__(self, versions: Sequence[Version], disturbances: DisturbanceTracker, apply_s: float) -> None:
        """Start without answers."""
        self.violations: list[Violation] = []
        # Number of answers that were checked against the time bound.
        self.checked = 0
        self._versions = versions
        self._disturbances = disturbances
        self._apply_s = apply_s
        # Number of the oldest version that an incarnation may still use.
        self._floor_by_incarnation: dict[int, int] = defaultdict(int)
        self._reported: set[tuple[str, int]] = set()

    def due(self, now_s: float) -> Version:
        """Return the newest version that must be in force."""
        bound_s = self._apply_s
        if not self._disturbances.is_store_stable(now_s):
            bound_s += _HISTORY_LOSS_ALLOWANCE_S
        due = [each for each in self._versions if now_s - each.acknowledged_s > bound_s]
        return due[-1] if due else self._versions[0]

    def check_answer(self, answer: Answer) -> None:
        """Check an answer; must be called right after it was received."""
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
