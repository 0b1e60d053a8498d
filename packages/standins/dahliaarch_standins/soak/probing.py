"""Periodically probes an instance for the version of the configuration that it uses."""

import random
import time

import anyio

from .following import Answer, ConfigurationCheck
from .system import System

# Interval between two rounds of probes, in seconds.
_PROBE_INTERVAL_S = 0.3
# Timeout of a probe, in seconds.
_ANSWER_TIMEOUT_S = 1.0


async def probe_forever(system: System, check: ConfigurationCheck, name: str) -> None:
    """Send probes to an instance and check its answers until cancelled."""
    rng = random.Random(name)
    caller = system.deployment.caller(name)
    while True:
        await anyio.sleep(_PROBE_INTERVAL_S)
        for probe in system.operator.draw_probes(rng, check.due(time.monotonic())):
            incarnation = system.deployment.incarnation(name)
            sent_s, wall_s = time.monotonic(), time.time()
            reply = await caller.call('GET', probe.path, key=probe.key, host=probe.host, timeout_s=_ANSWER_TIMEOUT_S)
            if reply is not None and incarnation and system.deployment.incarnation(name) == incarnation:
                check.check_answer(Answer(name, incarnation, probe, reply.status, sent_s, wall_s))
