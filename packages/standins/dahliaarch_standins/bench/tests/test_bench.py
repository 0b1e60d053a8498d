from ..core import run_bench


def test_benchmark_completes_and_reports_its_size():
    result = run_bench(workers=12, waiting_tasks=60, passes=30, seed=1)
    assert result.workers == 12
    assert 0 < result.p50_ms <= result.p99_ms
