"""Requests advice on workers from the external policy, through several instances concurrently.

The policy processes one call per instance at a time and takes about half a second
for each. Other instances make no calls of their own, so the owner also asks through them.
"""

from collections.abc import Awaitable, Callable, Mapping, Sequence

import anyio

from dahliaarch_kernel.scheduler import AskAdvice
from dahliaarch_platform.advice import ADVICE_FAILURES

from ..logs import log_event
from .messages import AdviceFailed, AdviceGiven, OwnerMessage

# Timeout of a call in addition to the decision time stated by the policy, in seconds.
_EXTRA_WAIT_S = 1.0
# Maximum number of queued questions; further ones fail immediately and are asked again later.
_MAX_QUEUED = 32
# Maximum number of concurrent calls.
_MAX_CALLS = 8
# Interval of checks for further instances to ask through, in seconds.
_POLICY_QUERIES_POLL_S = 0.5

AskPolicyFunction = Callable[[str, Sequence[str], float], Awaitable[Mapping[str, str]]]


class AdviceDispatcher:
    """Distributes questions over the instances that can reach the policy, one at a time to each.

    Parameters
    ----------
    policy_queries : callable
        Returns the functions to ask with now, this instance's own first. Each takes
        the step's name, the workers and a timeout in seconds, returns tickets by
        worker and raises one of ADVICE_FAILURES.
    post : callable
        Passes a message to the scheduling task.
    name_of : callable
        Returns the name under which the policy knows a worker.
    clock : callable
        Steady clock.
    """

    def __init__(
        self,
        policy_queries: Callable[[], Sequence[AskPolicyFunction]],
        post: Callable[[OwnerMessage], None],
        name_of: Callable[[str], str],
        clock: Callable[[], float],
    ) -> None:
        """Initialize with an empty queue."""
        self._policy_queries = policy_queries
        self._post = post
        self._name_of = name_of
        self._clock = clock
        self._question_sender, self._question_receiver = anyio.create_memory_object_stream[AskAdvice](_MAX_QUEUED)

    def ask(self, question: AskAdvice) -> None:
        """Queue a question, or report its failure if the queue is full."""
        try:
            self._question_sender.send_nowait(question)
        except anyio.WouldBlock:
            self._report_failure(question, 'question queue is full')

    async def run(self) -> None:
        """Process questions until cancelled."""
        async with anyio.create_task_group() as tasks:
            for number in range(_MAX_CALLS):
                tasks.start_soon(self._process_questions, number)

    async def _process_questions(self, number: int) -> None:
        """Process questions one at a time through one of the instances.

        The policy would serialize concurrent questions of one instance. It also processes
        calls that have timed out, so that retries lengthen its queue.
        """
        while True:
            while number >= max(1, len(self._policy_queries())):
                await anyio.sleep(_POLICY_QUERIES_POLL_S)
            question = await self._question_receiver.receive()
            policy_queries = self._policy_queries()
            if policy_queries:
                await self._request_advice(question, policy_queries[number % len(policy_queries)])
            else:
                self._report_failure(question, 'no policy is configured')

    async def _request_advice(self, question: AskAdvice, ask: AskPolicyFunction) -> None:
        terms = question.terms
        decision_s = terms.decision_s + terms.per_worker_s * len(question.worker_ids)
        step = '.'.join(str(part) for part in question.step)
        # A ticket is valid for the worker's incarnation at the time of the question.
        id_by_name = {self._name_of(worker_id): worker_id for worker_id in question.worker_ids}
        try:
            ticket_by_name = await ask(step, tuple(id_by_name), decision_s + _EXTRA_WAIT_S)
        except ADVICE_FAILURES as error:
            self._report_failure(question, str(error))
            return
        tickets = {id_by_name[name]: ticket for name, ticket in ticket_by_name.items() if name in id_by_name}
        log_event('advice_given', step=question.step, asked=len(question.worker_ids), consents=len(tickets))
        until_s = self._clock() + terms.valid_s
        self._post(AdviceGiven(question.step, question.worker_ids, tickets, until_s))

    def _report_failure(self, question: AskAdvice, why: str) -> None:
        log_event('advice_failed', step=question.step, asked=len(question.worker_ids), why=why)
        self._post(AdviceFailed(question.step))
