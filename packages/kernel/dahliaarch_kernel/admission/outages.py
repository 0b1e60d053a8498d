"""Lengths of the outages of a service, learned from its answers and failures.

Load: during an outage of the store every submission is refused, and callers that return
after one second each use up their attempts before the store answers again.
"""

from collections import deque
from statistics import fmean

# Number of earlier outages that are remembered.
_MAX_REMEMBERED = 16
# A failure that has lasted for less, in seconds, may be a single failed call: earlier outages say nothing
# about it, and it says nothing about later ones.
_MIN_REMEMBERED_S = 0.25
# Expected remainder of an outage about whose length nothing is known yet, in seconds.
_INITIAL_LEFT_S = 1.0


class Outages:
    """The current and earlier outages of a service; all times are on the steady clock.

    An outage begins with the first failure after an answer and ends with the next answer.
    """

    def __init__(self) -> None:
        """Start without an outage."""
        self._began_s: float | None = None
        self._ended_s = float('-inf')
        self._answered_s = float('-inf')
        self._lengths_s: deque[float] = deque(maxlen=_MAX_REMEMBERED)

    @property
    def is_under_way(self) -> bool:
        """Whether the last call failed."""
        return self._began_s is not None

    def record_failure(self, requested_s: float) -> None:
        """Record a failed call and when it was sent, which may be before a later call was answered."""
        if self._began_s is None:
            self._began_s = max(requested_s, self._answered_s)

    def record_answer(self, now_s: float) -> None:
        """Record an answer, which ends an outage."""
        if self._began_s is not None:
            length_s = now_s - self._began_s
            if length_s >= _MIN_REMEMBERED_S:
                self._lengths_s.append(length_s)
            self._began_s = None
            self._ended_s = now_s
        self._answered_s = now_s

    def age_s(self, now_s: float) -> float:
        """Return how long the current outage has lasted; 0 without one."""
        return 0.0 if self._began_s is None else max(0.0, now_s - self._began_s)

    def expected_left_s(self, now_s: float) -> float:
        """Return the expected remainder of the current outage; 0 without one.

        It is the mean remainder of the earlier outages that lasted longer than this one
        has. An outage that is longer than all earlier ones is expected to last as long again.
        Until it has lasted long enough to be told from a single failed call, nothing is known.
        """
        if self._began_s is None:
            return 0.0
        age_s = self.age_s(now_s)
        if age_s < _MIN_REMEMBERED_S:
            return _INITIAL_LEFT_S
        longer_s = [length_s - age_s for length_s in self._lengths_s if length_s > age_s]
        return fmean(longer_s) if longer_s else max(_INITIAL_LEFT_S, age_s)

    def was_under_way_within(self, window_s: float, now_s: float) -> bool:
        """Return whether an outage is under way or has ended within a time window before now."""
        return self._began_s is not None or now_s - self._ended_s <= window_s
