"""Which instances were left alone for how long.

What is promised within a bound of time is promised to instances in touch: those
that nothing has disturbed for a while. A disturbance is noted before it begins
and after it has ended, so that an instance never counts as in touch wrongly:

- of one instance: a kill, a start, a stop, a pause, connections to the store or
  of its peers that are cut, reset, silent or slowed;
- of all: connections of all that are harmed, a store that is silent, refuses, is
  slow or loses answers, and a lag of this process, which runs the store and every
  proxy.

None is: a changed settings file, faults of workers and of the links to them, and
whatever happens to another instance, the owner too. A link that is slow from
beginning to end is what the instance has, and no disturbance; yet the store sends
a whole document for each change, and several of a megabyte in quick succession
are more than such a link carries in time. So instances with slow links are held
to the bound while one with a fast link is in touch too: they can learn from it
what has changed.
"""

from collections import Counter
from collections.abc import Collection, Iterable

# Time without disturbance after which an instance is in touch, in seconds: the
# shortest that the platform sets.
QUIET_PERIOD_S = 3.0


class DisturbanceTracker:
    """Disturbances that go on, and when the last one ended.

    Parameters
    ----------
    names : iterable of str
        The instances.
    slow_names : collection of str
        Those of them whose links are slow from beginning to end.
    """

    def __init__(self, names: Iterable[str], slow_names: Collection[str] = ()) -> None:
        """Start with nothing in touch."""
        self._active_count: Counter[str] = Counter()
        self._stable_since_s = dict.fromkeys(names, float('inf'))
        self._history_lost_s = float('-inf')
        self._slow_names = frozenset(slow_names)

    def begin(self, names: Iterable[str]) -> None:
        """Note a disturbance that begins."""
        self._active_count.update(names)

    def end(self, names: Iterable[str], now_s: float) -> None:
        """Note that it has ended."""
        for name in names:
            self._active_count[name] -= 1
            self._stable_since_s[name] = now_s

    def record_history_loss(self, now_s: float) -> None:
        """Note that the store has forgotten its history: it is unstable, but up."""
        self._history_lost_s = now_s

    def is_stable(self, name: str, now_s: float) -> bool:
        """Tell whether nothing has disturbed an instance for long enough."""
        return not self._active_count[name] and now_s - self._stable_since_s[name] > QUIET_PERIOD_S

    def is_held_to_bound(self, name: str, now_s: float) -> bool:
        """Tell whether an instance has to follow the configuration in time."""
        if name not in self._slow_names:
            return self.is_stable(name, now_s)
        fast = self._stable_since_s.keys() - self._slow_names
        return self.is_stable(name, now_s) and any(self.is_stable(other, now_s) for other in fast)

    def is_store_stable(self, now_s: float) -> bool:
        """Tell whether the store has remembered everything for long enough."""
        return now_s - self._history_lost_s > QUIET_PERIOD_S
