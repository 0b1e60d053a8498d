from ..core import run_demo


def test_no_job_is_lost_and_no_task_succeeds_twice():
    counts = run_demo(jobs=12, seed=3)
    assert counts.accepted == 12
    assert counts.is_correct
