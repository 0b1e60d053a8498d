"""Questions to an outside policy that works on one call of an instance at a time.

What happens: an owner that knows few peers gets no answer from the policy any more, and nothing on its queues starts.

The sequence: the owner had up to eight questions under way, whoever could ask: with one way to ask, right after a
takeover, all eight waited for their turn at the policy. Each waits for as long as one takes and 1.0 s more; those
behind the third were given up, were worked on all the same, and were asked again behind the others.

The cause: a wait that knows nothing of the queue ahead, and repeats that lengthen it.
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
    """Works on one call at a time, also on those that were given up."""

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


def test_an_owner_with_a_single_asker_gets_an_answer_to_every_question():
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
    # It decides on twelve in this time.
    assert sum(isinstance(message, AdviceGiven) for message in outcomes) == 10
    assert not any(isinstance(message, AdviceFailed) for message in outcomes)
