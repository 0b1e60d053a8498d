"""How far accounts are over their shares of the pool, as ratios and as levels.

Handles a load in which several accounts compete for too little capacity: who used more than a fair share comes later.
"""

from collections.abc import Collection, Mapping

# Largest ratio of usage to share that is not considered overuse; each doubling above it adds a level.
_MAX_FAIR_RATIO = 1.5
# Total usage, as a share of the pool, up to which no account is considered over its share: who used the last
# remainder of a long-past burst says nothing about who uses the pool now.
_MIN_TOTAL_USAGE = 0.01
# Number of the highest level.
MAX_LEVEL = 3


def account_weights(accounts: Collection[str], guaranteed_by_account: Mapping[str, int]) -> dict[str, float]:
    """Return the weight of each account: its guaranteed accelerators.

    An account without a guarantee has the smallest weight of any account with one; if there are no guarantees, all
    weights are equal.
    """
    smallest = min((count for count in guaranteed_by_account.values() if count > 0), default=1)
    return {account: float(max(guaranteed_by_account.get(account, 0), 0) or smallest) for account in accounts}


def overuse_ratios(
    usage_by_account: Mapping[str, float], weight_by_account: Mapping[str, float], accounts: Collection[str]
) -> dict[str, float]:
    """Return each account's fraction of the usage of these accounts, divided by its fraction of their weights.

    All ratios are 1 if these accounts have hardly used the pool.

    Parameters
    ----------
    usage_by_account, weight_by_account : mapping
        Usage and weight by account; a missing usage counts as 0.
    accounts : collection of str
        Accounts that have work waiting or running.
    """
    total_usage = sum(usage_by_account.get(account, 0.0) for account in accounts)
    if total_usage <= _MIN_TOTAL_USAGE:
        return dict.fromkeys(accounts, 1.0)
    total_weight = sum(weight_by_account[account] for account in accounts)
    return {
        account: (usage_by_account.get(account, 0.0) / total_usage) * (total_weight / weight_by_account[account])
        for account in accounts
    }


def level_of_ratio(ratio: float) -> int:
    """Return the level of an overuse ratio, from 0 to `MAX_LEVEL`.

    Levels are few so that the order of accounts rarely changes from one pass to the next.
    """
    level = 0
    limit = _MAX_FAIR_RATIO
    while ratio > limit and level < MAX_LEVEL:
        level += 1
        limit *= 2
    return level
