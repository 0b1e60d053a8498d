"""Faults that cut a region off, and signals to an instance that is stopping."""

import random
import signal

from dahliaarch_node.owner.registry import epoch_of, fence_of

from ..platform import WorkerStandIn
from .plans import Fault, register
from .system import System

# Time in which an owner's lease and the longest lease that it can have granted to a worker end, and another instance
# takes over and starts the tasks again, in seconds.
_REGION_CUT_S = 9.0


@register
async def cut_region(system: System, fault: Fault, rng: random.Random) -> None:
    """Cut the owner and any number of instances, with a worker, off from the store and from the other instances."""
    owner = await system.deployment.owner()
    others = [name for name in system.deployment.names if name != owner]
    side = {owner, *rng.sample(others, rng.randint(0, len(others)))}
    worker = worker_of_current_owner(system, rng)
    with system.disturbing():
        await system.cut_off(side, _REGION_CUT_S)
    worker.faults.highest_fence = 0


@register
async def signal_stopping_instance(system: System, fault: Fault, rng: random.Random) -> None:
    """Terminate an instance, send it signals until it has exited, and restart it."""
    signals = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    await system.stop_and_start(rng.choice(system.deployment.names), rng.sample(signals, len(signals)))


def worker_of_current_owner(system: System, rng: random.Random) -> WorkerStandIn:
    """Return a worker that from now on answers no later owner than the current one."""
    worker = rng.choice(system.deployment.workers)
    fences = [start.fence for each in system.deployment.workers for start in each.starts]
    worker.faults.highest_fence = fence_of(epoch_of(max(fences, default=0)) + 1, 0) - 1
    return worker
