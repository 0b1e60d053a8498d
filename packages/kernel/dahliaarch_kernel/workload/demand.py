"""Measures of how much of a worker a task takes."""

from .core import Resources

NO_RESOURCES = Resources()

# The users' prices count an accelerator as this many cores.
_CORES_PER_ACCELERATOR = 8.0
_MILLIS_PER_CORE = 1000.0


def weighted_cores(demand: Resources) -> float:
    """Return a demand in cores, accelerators included at their price."""
    return demand.cpu_millis / _MILLIS_PER_CORE + _CORES_PER_ACCELERATOR * demand.accelerators


def dominant_share(demand: Resources, capacity: Resources) -> float:
    """Return the largest share of a capacity's parts that a demand takes."""
    pairs = zip(demand, capacity, strict=True)
    return max(part / whole if whole else float(bool(part)) for part, whole in pairs)
