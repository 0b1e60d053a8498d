"""Tests of questions to an external policy that processes one call per instance at a time.

An owner sent up to eight questions concurrently, regardless of the number of askers. With
a single asker, right after a takeover, all eight queued at the policy. Each timed out 1.0 s
after the duration of one decision, so those behind the third were abandoned, but still
processed by the policy, and were asked again behind the others. The timeout ignored the
queue and the repeated questions lengthened it, until the owner got no answer any more and
nothing on its queues started.
"""

import time

import anyio

from dahliaarch_kernel.configuration import AdviceTerms
from dahliaarch_kernel.scheduler import AskAdvice
from dahliaarch_kernel.workload import StepKey
from dahliaarch_platform.advice import AdviceUnavailableError

from ..advising import AdviceDispatcher
from ..messages import AdviceFailed, AdviceGiven

DECISION_S = 0.5
DURATION_S = 6.0
TERMS = AdviceTerms(decision_s=DECISION_S, per_worker_s=0.0, valid_s=1.5)


class Policy:
    """An external policy that processes calls one at a time, including those that have timed out."""

    def __init__(self, tasks):
        self._tasks = tasks
        self._lock = anyio.Lock()

    async def ask(self, step, worker_ids, timeout_s):
        answered = anyio.Event()
        self._tasks.start_soon(self._decide, answered)
        with anyio.move_on_after(timeout_s):
            await answered.wait()
            return dict.fromkeys(worker_ids, 'ticket')
        raise AdviceUnavailableError('no answer')

    async def _decide(self, answered):
        async with self._lock:
            await anyio.sleep(DECISION_S)
        answered.set()


def test_a_single_asker_is_enough_for_every_question():
    outcomes = []

    async def scenario():
        async with anyio.create_task_group() as tasks:
            policy = Policy(tasks)

            def post(message):
                outcomes.append(message)
                if isinstance(message, AdviceFailed):
                    dispatcher.ask(AskAdvice(message.step, ('w0',), TERMS))

            dispatcher = AdviceDispatcher(lambda: [policy.ask], post, str, time.monotonic)
            tasks.start_soon(dispatcher.run)
            for number in range(10):
                dispatcher.ask(AskAdvice(StepKey(f'{number:016x}', 0, 0), ('w0',), TERMS))
            await anyio.sleep(DURATION_S)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)
    # The policy makes twelve decisions within DURATION_S.
    assert sum(isinstance(message, AdviceGiven) for message in outcomes) == 10
    assert not any(isinstance(message, AdviceFailed) for message in outcomes)
