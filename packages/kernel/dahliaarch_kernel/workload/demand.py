"""Scalar measures of resource demand."""

from .core import Resources, StepSpec

NO_RESOURCES = Resources()

# Number of cores that one accelerator is equivalent to.
_CORES_PER_ACCELERATOR = 8.0
MILLIS_PER_CORE = 1000.0


def weighted_cores(demand: Resources) -> float:
    """Return a demand in cores, each accelerator converted to its equivalent."""
    return demand.cpu_millis / MILLIS_PER_CORE + _CORES_PER_ACCELERATOR * demand.accelerators


def dominant_share(demand: Resources, capacity: Resources) -> float:
    """Return the largest fraction of any resource of a capacity that a demand uses."""
    pairs = zip(demand, capacity, strict=True)
    return max(demanded / available if available else float(bool(demanded)) for demanded, available in pairs)


def step_summary(step: StepSpec) -> str:
    """Return a one-line summary of the placement constraints of a step, for the logs."""
    parts = [f'{step.task_count} x {step.demand.cpu_millis}m {step.demand.memory_mb}MB {step.demand.accelerators}acc']
    parts.append(f'{step.estimate_s:g}s')
    constraints = {
        'gang': step.gang,
        'one rack': step.same_rack,
        'checkpoints': step.checkpoints,
        'lasting': step.lasting,
        'fills': step.fills,
        'copies': step.speculative,
        f'label {step.label}': step.label,
        f'data on {step.data_rack}': step.data_rack,
        f'at most {step.max_per_worker} a worker': step.max_per_worker,
        f'after {step.after}': step.after,
    }
    parts.extend(text for text, is_set in constraints.items() if is_set)
    return ', '.join(parts)
