"""Ranks of work: lower ones go first and may stop higher ones."""

# Work of priority 0 within its account's guarantee.
RANK_GUARANTEED = 0
# Other work of priority 0.
RANK_URGENT = 1
# The rest.
RANK_ORDINARY = 2
