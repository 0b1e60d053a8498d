"""Fair sharing of the pool between client accounts."""

from .order import max_passed_over_s, passed_over_s, Precedence, precedence
from .overuse import account_weights, level_of_ratio, MAX_LEVEL, overuse_ratios
from .shares import AccountShares
from .usage import UsageLedger

__all__ = (
    'MAX_LEVEL',
    'AccountShares',
    'Precedence',
    'UsageLedger',
    'account_weights',
    'level_of_ratio',
    'max_passed_over_s',
    'overuse_ratios',
    'passed_over_s',
    'precedence',
)
