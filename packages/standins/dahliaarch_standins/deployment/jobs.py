"""Random steps of small jobs, as JSON objects of a submission."""

import random
from collections.abc import Iterable
from typing import Any

from dahliaarch_kernel.workload import Resources, StepSpec

_TWO_STEP_SHARE = 0.3
_MAX_TASKS = 4
# Tasks of a step with a limit per worker, and the highest such limit.
_LIMITED_TASKS = 6
_MAX_PER_WORKER = 2


def draw_steps(rng: random.Random, *, estimate_ms: int, gang_share: float = 0.0) -> list[dict[str, Any]]:
    """Return one step, or two of which the second depends on the first."""
    first = {
        'Count': rng.randint(1, _MAX_TASKS),
        'Cpu': 4000,
        'MemMb': 16_000,
        'Gpu': rng.choice((1, 2, 4, 8)),
        'EstimateMs': estimate_ms,
        'Gang': rng.random() < gang_share,
    }
    if rng.random() < _TWO_STEP_SHARE:
        return [first, {**first, 'After': [0]}]
    return [first]


def limit_per_worker(rng: random.Random, steps: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return steps with several small tasks of which only a few may run on one worker."""
    limit = rng.randint(1, _MAX_PER_WORKER)
    return [{**step, 'Count': _LIMITED_TASKS, 'Gpu': 1, 'Gang': False, 'AntiAffinity': limit} for step in steps]


def step_specs(steps: Iterable[dict[str, Any]]) -> tuple[StepSpec, ...]:
    """Return the step specifications for submitted steps."""
    return tuple(
        StepSpec(
            step['Count'],
            Resources(step['Cpu'], step['MemMb'], step['Gpu']),
            after=tuple(step.get('After', ())),
            gang=step.get('Gang', False),
            max_per_worker=step.get('AntiAffinity', 0),
        )
        for step in steps
    )
