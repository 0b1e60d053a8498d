"""The comparison ends, repeats, and shows what the decisions are for."""

from dahliaarch_standins.comparison import compare

SEEDS = (1, 2)


def rows():
    return {row.scheduler: row for row in compare('meters', SEEDS, load=1.2)}


def test_the_same_seeds_give_the_same_rows():
    assert rows() == rows()


def test_owners_get_more_than_from_best_fit_and_urgent_work_is_in_time_more_often():
    found = rows()
    assert found['worth'].credit > found['best-fit'].credit
    assert found['worth'].urgent_in_time > found['best-fit'].urgent_in_time
