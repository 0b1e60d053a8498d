"""Faults that are injected from outside the daemons, registered by the name of their function."""

import random
import time

import anyio

from ..deployment.core import DOMAINS
from ..proxy import FaultProxy
from .evacuations import EVACUATE_S
from .partitions import worker_of_current_owner
from .plans import Fault, register
from .system import System

# Downtime of a worker that restarts, in seconds.
_DOWNTIME_RANGE_S = (0.02, 0.8)
# Steps right before or after which every instance is killed, as in a power loss.
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
# Time in which an owner's lease of 2 s ends, another instance takes over, and both
# can send orders, in seconds.
_TAKEOVER_TIMEOUT_S = 4.5
# Range of rates of a temporarily slow link, in bytes per second.
_SLOW_RATE_RANGE = (100_000, 600_000)
# Range of the number of routes that a change adds, numbers of changes in a burst, and
# range of the pause after each of them, in seconds.
_ADDED_ROUTES_RANGE = (300, 2_500)
_BURST_SIZES = (1, 1, 2, 4)
_BURST_INTERVAL_RANGE_S = (0.05, 0.8)
# Longest wait for one of the power loss steps, in seconds.
_STEP_TIMEOUT_S = 4.0


@register
async def kill_instance(system: System, fault: Fault, rng: random.Random) -> None:
    """Kill an instance, deliberately the owner in half of all cases, and restart it later."""
    name = _owner_or_any(system, rng)
    await system.restart([name], fault.for_s)


@register
async def kill_all(system: System, fault: Fault, rng: random.Random) -> None:
    """Kill every instance and restart them."""
    await system.restart(system.deployment.names, rng.uniform(0.0, 1.0))


@register
async def kill_all_at_step(system: System, fault: Fault, rng: random.Random) -> None:
    """Kill every instance right before or after a step is executed, and restart them."""
    step = rng.choice(_POWER_LOSS_STEPS)
    if await system.wait_for_step(step, is_done=rng.choice((False, True)), wait_s=_STEP_TIMEOUT_S):
        await system.restart(system.deployment.names, rng.uniform(0.0, 1.0))


@register
async def pause_instance(system: System, fault: Fault, rng: random.Random) -> None:
    """Suspend an instance, deliberately the owner in half of all cases."""
    name = _owner_or_any(system, rng)
    if name not in system.deployment.running_names:
        return
    with system.disturbing(name):
        system.deployment.pause(name)
        await anyio.sleep(fault.for_s)
        if name in system.deployment.running_names:
            system.deployment.resume(name)


@register
async def cut_owner_from_store(system: System, fault: Fault, rng: random.Random) -> None:
    """Drop all traffic between the owner and the store until another instance has taken over."""
    owner = await system.deployment.owner()
    proxy = system.store_proxy_by_name[owner]
    with system.disturbing(owner):
        proxy.drops_all = True
        await anyio.sleep(_TAKEOVER_TIMEOUT_S)
        proxy.drops_all = False
        await proxy.reset()


@register
async def leave_owner_a_worker(system: System, fault: Fault, rng: random.Random) -> None:
    """Cut the owner off from the store, and let a worker answer it but not its successor."""
    worker = worker_of_current_owner(system, rng)
    await cut_owner_from_store(system, fault, rng)
    worker.faults.highest_fence = 0


@register
async def stop_instance(system: System, fault: Fault, rng: random.Random) -> None:
    """Terminate an instance and restart it once it has stopped."""
    await system.stop_and_start(rng.choice(system.deployment.names))


@register
async def signal_settings(system: System, fault: Fault, rng: random.Random) -> None:
    """Signal every instance to reload its settings."""
    system.signal_settings()


@register
async def change_keys(system: System, fault: Fault, rng: random.Random) -> None:
    """Add a second key to the account, or remove it."""
    system.operator.change_keys()


@register
async def grow_configuration(system: System, fault: Fault, rng: random.Random) -> None:
    """Add routes to the configuration, in some cases by several changes in quick succession."""
    for _ in range(rng.choice(_BURST_SIZES)):
        system.operator.add_routes(rng.randint(*_ADDED_ROUTES_RANGE))
        await anyio.sleep(rng.uniform(*_BURST_INTERVAL_RANGE_S))


@register
async def slow_link(system: System, fault: Fault, rng: random.Random) -> None:
    """Temporarily reduce the rate of an instance's link."""
    name = rng.choice(system.deployment.names)
    with system.disturbing(name):
        system.links(name).set_rate(rng.uniform(*_SLOW_RATE_RANGE))
        await anyio.sleep(fault.for_s)
        system.links(name).set_rate(system.rate_by_name[name])


@register
async def silence_store(system: System, fault: Fault, rng: random.Random) -> None:
    """Let the store answer no calls."""
    with system.disturbing():
        system.store.faults.is_silent = True
        await anyio.sleep(fault.for_s)
        system.store.faults.is_silent = False


@register
async def refuse_at_store(system: System, fault: Fault, rng: random.Random) -> None:
    """Let the store refuse every call."""
    with system.disturbing():
        system.store.faults.is_refusing = True
        await anyio.sleep(fault.for_s)
        system.store.faults.is_refusing = False


@register
async def slow_store(system: System, fault: Fault, rng: random.Random) -> None:
    """Delay the answers of the store."""
    with system.disturbing():
        system.store.faults.delay_s = rng.uniform(0.05, 0.3)
        await anyio.sleep(fault.for_s)
        system.store.faults.delay_s = 0.0


@register
async def lose_store_answers(system: System, fault: Fault, rng: random.Random) -> None:
    """Lose answers to writes, in some cases with late execution of these writes."""
    faults = system.store.faults
    with system.disturbing():
        faults.lost_share, faults.late_s = rng.uniform(0.2, 0.8), rng.choice((0.0, 1.5))
        await anyio.sleep(fault.for_s)
        faults.lost_share, faults.late_s = 0.0, 0.0


@register
async def forget_history(system: System, fault: Fault, rng: random.Random) -> None:
    """Let the store discard its history of changes."""
    system.disturbances.record_history_loss(time.monotonic())
    system.store.discard_history()


@register
async def cut_instance_from_store(system: System, fault: Fault, rng: random.Random) -> None:
    """Silence, cut one way or reset an instance's connections to the store, and refuse new ones."""
    name = rng.choice(system.deployment.names)
    await _cut_off(system, name, system.store_proxy_by_name[name], fault, rng)


@register
async def cut_instance_from_peers(system: System, fault: Fault, rng: random.Random) -> None:
    """Block messages from peers to an instance, deliberately the owner in half of all cases.

    The instance itself can still call its peers.
    """
    name = _owner_or_any(system, rng)
    await _cut_off(system, name, system.peer_proxy_by_name[name], fault, rng)


async def _cut_off(system: System, name: str, proxy: FaultProxy, fault: Fault, rng: random.Random) -> None:
    """Disrupt the connections of a proxy and temporarily refuse new ones."""
    with system.disturbing(name):
        proxy.refuses_connections = True
        await _disrupt(proxy, rng)
        await anyio.sleep(fault.for_s)
        proxy.refuses_connections = False


@register
async def harm_connections(system: System, fault: Fault, rng: random.Random) -> None:
    """Silence, cut one way or reset all open connections of every proxy.

    These are the connections to the store, to workers and between instances. New
    connections are not affected.
    """
    with system.disturbing():
        async with anyio.create_task_group() as tasks:
            for proxy in system.proxies:
                tasks.start_soon(_disrupt, proxy, rng)


@register
async def delay_worker(system: System, fault: Fault, rng: random.Random) -> None:
    """Delay all traffic between the instances and a worker."""
    proxy = rng.choice(system.worker_proxies)
    proxy.delay_s = rng.uniform(0.05, 0.4)
    await anyio.sleep(fault.for_s)
    proxy.delay_s = 0.0


@register
async def cut_worker(system: System, fault: Fault, rng: random.Random) -> None:
    """Silence, cut one way or reset connections to a worker, and refuse new ones."""
    proxy = rng.choice(system.worker_proxies)
    proxy.refuses_connections = True
    await _disrupt(proxy, rng)
    await anyio.sleep(fault.for_s)
    proxy.refuses_connections = False


@register
async def late_orders(system: System, fault: Fault, rng: random.Random) -> None:
    """Let a worker leave some orders unanswered and execute them late."""
    faults = rng.choice(system.deployment.workers).faults
    faults.lost_share, faults.late_s = 0.4, rng.uniform(0.5, 2.5)
    await anyio.sleep(fault.for_s)
    faults.lost_share, faults.late_s = 0.0, 0.0


@register
async def crash_worker(system: System, fault: Fault, rng: random.Random) -> None:
    """Crash a worker, which loses its runs and returns as a new incarnation."""
    system.crash_worker(rng.choice(system.deployment.workers))


@register
async def restart_worker(system: System, fault: Fault, rng: random.Random) -> None:
    """Crash workers that return under their previous ids; half of them crash a second time right away."""
    workers = system.deployment.workers
    for worker in rng.sample(workers, rng.randint(1, len(workers))):
        for _ in range(rng.choice((1, 2))):
            await worker.restart(rng.uniform(*_DOWNTIME_RANGE_S))


@register
async def evacuate_domains(system: System, fault: Fault, rng: random.Random) -> None:
    """Evacuate some or all failure domains, for longer than the bound on starts there."""
    domains = rng.sample(DOMAINS, rng.randint(1, len(DOMAINS)))
    for domain in domains:
        system.evacuations.begin(domain)
        await anyio.sleep(rng.uniform(0.0, 0.5))
    await anyio.sleep(EVACUATE_S + fault.for_s)
    for each in domains:
        system.evacuations.end(each)


def _owner_or_any(system: System, rng: random.Random) -> str:
    """Return the owner in half of all cases, otherwise a random instance."""
    owner = system.deployment.current_owner()
    is_owner_meant = rng.choice((False, True))
    return owner if owner and is_owner_meant else rng.choice(system.deployment.names)


async def _disrupt(proxy: FaultProxy, rng: random.Random) -> None:
    """Silence, cut one way or reset the open connections of a proxy."""
    match rng.randrange(3):
        case 0:
            proxy.silence()
        case 1:
            await proxy.drop_answers()
        case _:
            await proxy.reset()
