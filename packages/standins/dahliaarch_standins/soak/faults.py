"""Faults that are injected from outside the daemons; each registers itself."""

import random
import time

import anyio

from dahliaarch_node.owner.registry import epoch_of, fence_of

from ..proxy import FaultProxy
from .plans import Fault, register
from .system import System

# How long a worker is away that starts again, in seconds.
_DOWNTIME_RANGE_S = (0.02, 0.8)
# Names of the steps at which every instance loses power.
_POWER_LOSS_STEPS = (
    'kv-txn jobs',
    'kv-txn cancel',
    'kv-txn owner',
    'kv-txn progress',
    'kv-lease',
    'kv-range jobs',
    'kv-range progress',
    '/run-start',
    '/run-stop',
    '/hold',
)
# Time in which an owner's lease of 2 s ends, another has taken over, and both
# have had time to give orders.
_TAKEOVER_TIMEOUT_S = 4.5
# Rates of a link that is slow for a while, in bytes per second.
_SLOW_RATE_RANGE = (100_000, 600_000)
# How many routes a change adds, how many changes come in series, and what lies
# between two of them, in seconds.
_ADDED_ROUTES_RANGE = (300, 2_500)
_BURST_SIZES = (1, 1, 2, 4)
_BURST_INTERVAL_RANGE_S = (0.05, 0.8)
# Longest wait for such a step to come, in seconds.
_STEP_TIMEOUT_S = 4.0


@register
async def kill_instance(system: System, fault: Fault, choice: random.Random) -> None:
    """Kill an instance, the owner in half of all cases; start it again later."""
    name = _owner_or_any(system, choice)
    await system.restart([name], fault.for_s)


@register
async def kill_all(system: System, fault: Fault, choice: random.Random) -> None:
    """Kill every instance and start them again."""
    await system.restart(system.deployment.names, choice.uniform(0.0, 1.0))


@register
async def kill_all_at_step(system: System, fault: Fault, choice: random.Random) -> None:
    """Kill every instance right before or after a step is carried out."""
    step = choice.choice(_POWER_LOSS_STEPS)
    if await system.wait_for_step(step, is_done=choice.choice((False, True)), wait_s=_STEP_TIMEOUT_S):
        await system.restart(system.deployment.names, choice.uniform(0.0, 1.0))


@register
async def pause_instance(system: System, fault: Fault, choice: random.Random) -> None:
    """Suspend an instance, the owner in half of all cases."""
    name = _owner_or_any(system, choice)
    if name not in system.deployment.running_names:
        return
    with system.disturbing(name):
        system.deployment.pause(name)
        await anyio.sleep(fault.for_s)
        if name in system.deployment.running_names:
            system.deployment.resume(name)


@register
async def cut_owner_from_store(system: System, fault: Fault, choice: random.Random) -> None:
    """Silence what passes between the owner and the store until another has taken the pool over."""
    owner = await system.deployment.owner()
    proxy = system.store_proxy_by_name[owner]
    with system.disturbing(owner):
        proxy.drops_all = True
        await anyio.sleep(_TAKEOVER_TIMEOUT_S)
        proxy.drops_all = False
        await proxy.reset()


@register
async def leave_owner_a_worker(system: System, fault: Fault, choice: random.Random) -> None:
    """Cut the owner off from the store, and a worker from its successor but not from it."""
    worker = choice.choice(system.deployment.workers)
    fences = [start.fence for each in system.deployment.workers for start in each.starts]
    worker.faults.highest_fence = fence_of(epoch_of(max(fences, default=0)) + 1, 0) - 1
    await cut_owner_from_store(system, fault, choice)
    worker.faults.highest_fence = 0


@register
async def stop_instance(system: System, fault: Fault, choice: random.Random) -> None:
    """Ask an instance to stop, and start it again once it has."""
    await system.stop_and_start(choice.choice(system.deployment.names))


@register
async def signal_settings(system: System, fault: Fault, choice: random.Random) -> None:
    """Tell every instance that its settings changed."""
    system.signal_settings()


@register
async def change_keys(system: System, fault: Fault, choice: random.Random) -> None:
    """Give the account another key beside its own, or take it away."""
    system.operator.change_keys()


@register
async def grow_configuration(system: System, fault: Fault, choice: random.Random) -> None:
    """Add routes to the configuration, at times by several changes in quick succession."""
    for _ in range(choice.choice(_BURST_SIZES)):
        system.operator.add_routes(choice.randint(*_ADDED_ROUTES_RANGE))
        await anyio.sleep(choice.uniform(*_BURST_INTERVAL_RANGE_S))


@register
async def slow_link(system: System, fault: Fault, choice: random.Random) -> None:
    """Let an instance's link carry less for a while."""
    name = choice.choice(system.deployment.names)
    with system.disturbing(name):
        system.links(name).set_rate(choice.uniform(*_SLOW_RATE_RANGE))
        await anyio.sleep(fault.for_s)
        system.links(name).set_rate(system.rate_by_name[name])


@register
async def silence_store(system: System, fault: Fault, choice: random.Random) -> None:
    """Let the store answer nobody."""
    with system.disturbing():
        system.store.faults.is_silent = True
        await anyio.sleep(fault.for_s)
        system.store.faults.is_silent = False


@register
async def refuse_at_store(system: System, fault: Fault, choice: random.Random) -> None:
    """Let the store refuse every call."""
    with system.disturbing():
        system.store.faults.is_refusing = True
        await anyio.sleep(fault.for_s)
        system.store.faults.is_refusing = False


@register
async def slow_store(system: System, fault: Fault, choice: random.Random) -> None:
    """Let the store take its time."""
    with system.disturbing():
        system.store.faults.delay_s = choice.uniform(0.05, 0.3)
        await anyio.sleep(fault.for_s)
        system.store.faults.delay_s = 0.0


@register
async def lose_store_answers(system: System, fault: Fault, choice: random.Random) -> None:
    """Let answers to writes be lost, some of them carried out late."""
    faults = system.store.faults
    with system.disturbing():
        faults.lost_share, faults.late_s = choice.uniform(0.2, 0.8), choice.choice((0.0, 1.5))
        await anyio.sleep(fault.for_s)
        faults.lost_share, faults.late_s = 0.0, 0.0


@register
async def forget_history(system: System, fault: Fault, choice: random.Random) -> None:
    """Let the store forget what has changed."""
    system.disturbances.record_history_loss(time.monotonic())
    system.store.forget_history()


@register
async def cut_instance_from_store(system: System, fault: Fault, choice: random.Random) -> None:
    """Cut an instance's connections to the store: silent, one way or reset."""
    name = choice.choice(system.deployment.names)
    await _cut_off(system, name, system.store_proxy_by_name[name], fault, choice)


@register
async def cut_instance_from_peers(system: System, fault: Fault, choice: random.Random) -> None:
    """Let no message of its peers reach an instance, the owner in half of all cases; it may still ask them."""
    name = _owner_or_any(system, choice)
    await _cut_off(system, name, system.peer_proxy_by_name[name], fault, choice)


async def _cut_off(system: System, name: str, proxy: FaultProxy, fault: Fault, choice: random.Random) -> None:
    """Harm the connections of a proxy and refuse new ones for a while."""
    with system.disturbing(name):
        proxy.refuses = True
        await _disrupt(proxy, choice)
        await anyio.sleep(fault.for_s)
        proxy.refuses = False


@register
async def harm_connections(system: System, fault: Fault, choice: random.Random) -> None:
    """Silence or reset every open connection to the store, to workers and of instances; new ones work."""
    with system.disturbing():
        async with anyio.create_task_group() as tasks:
            for proxy in system.proxies:
                tasks.start_soon(_disrupt, proxy, choice)


@register
async def delay_worker(system: System, fault: Fault, choice: random.Random) -> None:
    """Delay all that passes between the instances and a worker."""
    proxy = choice.choice(system.worker_proxies)
    proxy.delay_s = choice.uniform(0.05, 0.4)
    await anyio.sleep(fault.for_s)
    proxy.delay_s = 0.0


@register
async def cut_worker(system: System, fault: Fault, choice: random.Random) -> None:
    """Cut a worker off, in one of the ways."""
    proxy = choice.choice(system.worker_proxies)
    proxy.refuses = True
    await _disrupt(proxy, choice)
    await anyio.sleep(fault.for_s)
    proxy.refuses = False


@register
async def late_orders(system: System, fault: Fault, choice: random.Random) -> None:
    """Let a worker leave orders unanswered and carry them out late."""
    faults = choice.choice(system.deployment.workers).faults
    faults.lost_share, faults.late_s = 0.4, choice.uniform(0.5, 2.5)
    await anyio.sleep(fault.for_s)
    faults.lost_share, faults.late_s = 0.0, 0.0


@register
async def crash_worker(system: System, fault: Fault, choice: random.Random) -> None:
    """Let a worker lose all that it runs and come back as another incarnation."""
    system.crash_worker(choice.choice(system.deployment.workers))


@register
async def restart_worker(system: System, fault: Fault, choice: random.Random) -> None:
    """Let workers crash and come back under the ids that they had, in half of all cases again at once."""
    workers = system.deployment.workers
    for worker in choice.sample(workers, choice.randint(1, len(workers))):
        for _ in range(choice.choice((1, 2))):
            await worker.start_again(choice.uniform(*_DOWNTIME_RANGE_S))


def _owner_or_any(system: System, choice: random.Random) -> str:
    """Return the owner in half of all cases, else any instance."""
    owner = system.deployment.owner_now()
    is_owner_meant = choice.choice((False, True))
    return owner if owner and is_owner_meant else choice.choice(system.deployment.names)


async def _disrupt(proxy: FaultProxy, choice: random.Random) -> None:
    """Silence, cut one way or reset the open connections of a proxy."""
    match choice.randrange(3):
        case 0:
            proxy.silence()
        case 1:
            await proxy.lose_answers()
        case _:
            await proxy.reset()
