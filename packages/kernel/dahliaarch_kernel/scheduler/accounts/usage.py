"""Usage of the pool by client accounts.

Handles a load in which one account submits far more than its share, in bursts: usage is remembered for a while
after a burst, so that the account does not come first again as soon as its runs have ended.
"""

import math
from collections.abc import Mapping

# Usage below which an account that holds nothing is forgotten, as a fraction of the pool.
_NEGLIGIBLE_USAGE = 1e-6


class UsageLedger:
    """Decaying average of the share of the pool that each account has held, plus what it holds now.

    The average is the exponentially decayed integral of the held share, divided by the time constant of the decay.
    So an account that holds a constant share approaches twice that share.

    Parameters
    ----------
    half_life_s : float
        Time after which past usage counts half, in seconds; with 0, only what is held now counts.
    """

    def __init__(self, half_life_s: float) -> None:
        """Start without usage."""
        self._half_life_s = half_life_s
        self._average_by_account: dict[str, float] = {}
        self._held_by_account: dict[str, float] = {}
        self._advanced_s: float | None = None

    @property
    def usage_by_account(self) -> dict[str, float]:
        """Usage of each account that has any, as of the last advance."""
        accounts = self._average_by_account.keys() | self._held_by_account.keys()
        return {account: self.usage_of(account) for account in accounts}

    def usage_of(self, account: str) -> float:
        """Return the usage of an account as of the last advance."""
        return self._average_by_account.get(account, 0.0) + self._held_by_account.get(account, 0.0)

    def advance(self, now_s: float, held_by_account: Mapping[str, float]) -> None:
        """Advance to a time; until then, each account has held what the previous call named.

        Parameters
        ----------
        now_s : float
            The current time, steady clock. An earlier time than that of the previous call counts as the same.
        held_by_account : mapping
            Dominant share of the pool that each account holds from now on.
        """
        elapsed_s = 0.0 if self._advanced_s is None else max(0.0, now_s - self._advanced_s)
        self._advanced_s = now_s
        decay = self._decay(elapsed_s)
        added = 1.0 - decay if self._half_life_s else 0.0
        accounts = self._average_by_account.keys() | self._held_by_account.keys()
        averages = {
            account: self._average_by_account.get(account, 0.0) * decay
            + self._held_by_account.get(account, 0.0) * added
            for account in accounts
        }
        self._average_by_account = {
            account: average for account, average in averages.items() if average > _NEGLIGIBLE_USAGE
        }
        self._held_by_account = {account: held for account, held in held_by_account.items() if held > 0}

    def add_past(self, account: str, share_seconds: float, age_s: float) -> None:
        """Add usage from before the first advance.

        Parameters
        ----------
        account : str
            The account.
        share_seconds : float
            Held share of the pool, integrated over time.
        age_s : float
            How long ago it was held on average, in seconds.
        """
        if not self._half_life_s:
            return
        average = share_seconds * math.log(2) / self._half_life_s * self._decay(max(0.0, age_s))
        self._average_by_account[account] = self._average_by_account.get(account, 0.0) + average

    def _decay(self, elapsed_s: float) -> float:
        """Return the factor by which usage decays in a time."""
        if not self._half_life_s:
            return 0.0
        return math.exp2(-elapsed_s / self._half_life_s)
