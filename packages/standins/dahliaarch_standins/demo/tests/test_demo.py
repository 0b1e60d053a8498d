from ..core import run_demo


def test_nothing_is_lost_or_doubled():
    counts = run_demo(jobs=12, seed=3)
    assert counts.accepted == 12
    assert counts.is_right
