"""Tracks the disturbances of each instance, which decide whether time bounds apply to it.

Guarantees with a time bound hold only for stable instances: those that have not been
disturbed for a while. A disturbance is recorded before it begins and after it has
ended, so that an instance is never taken for stable by mistake:

- one instance is disturbed by a kill, a start, a stop, a pause, or by connections to
  the store or from its peers that are cut, reset, silent or slowed down;
- all instances are disturbed when connections of all of them are disrupted, when the
  store is silent, refuses calls, is slow or loses answers, and when this process,
  which runs the store and every proxy, lags.

Not counted as disturbances are a changed settings file, faults of workers and of the
links to them, and whatever happens to another instance, including the owner. A
permanently slow link is a property of the instance and not a disturbance. However, the
store sends the whole document for each change, and several documents of a megabyte in
quick succession exceed what such a link can carry in time. Instances with slow links
are therefore held to the bound only while an instance with a fast link is stable too,
because they can obtain the changes from that instance.
"""

from collections import Counter
from collections.abc import Collection, Iterable

# Time without disturbance after which an instance is stable, in seconds: the shortest
# that the platform sets.
QUIET_PERIOD_S = 3.0


class DisturbanceTracker:
    """Tracks active disturbances by instance and when the last one ended.

    Parameters
    ----------
    names : iterable of str
        Names of the instances.
    slow_names : collection of str
        Names of the instances whose links are permanently slow.
    """

    def __init__(self, names: Iterable[str], slow_names: Collection[str] = ()) -> None:
        """Start with no instance stable."""
        self._active_count: Counter[str] = Counter()
        self._stable_since_s = dict.fromkeys(names, float('inf'))
        self._history_lost_s = float('-inf')
        self._slow_names = frozenset(slow_names)

    def begin(self, names: Iterable[str]) -> None:
        """Record the beginning of a disturbance."""
        self._active_count.update(names)

    def end(self, names: Iterable[str], now_s: float) -> None:
        """Record the end of a disturbance."""
        for name in names:
            self._active_count[name] -= 1
            self._stable_since_s[name] = now_s

    def record_history_loss(self, now_s: float) -> None:
        """Record that the store has lost its history: it is available but not stable."""
        self._history_lost_s = now_s

    def is_stable(self, name: str, now_s: float) -> bool:
        """Return whether an instance has been undisturbed for the quiet period."""
        return not self._active_count[name] and now_s - self._stable_since_s[name] > QUIET_PERIOD_S

    def is_held_to_bound(self, name: str, now_s: float) -> bool:
        """Return whether an instance must apply configuration changes within the time bound."""
        if name not in self._slow_names:
            return self.is_stable(name, now_s)
        fast = self._stable_since_s.keys() - self._slow_names
        return self.is_stable(name, now_s) and any(self.is_stable(other, now_s) for other in fast)

    def is_store_stable(self, now_s: float) -> bool:
        """Return whether the store has kept its history for the quiet period."""
        return now_s - self._history_lost_s > QUIET_PERIOD_S
