"""Asks the outside policy for workers, on several instances at a time.

The policy works on one call of an instance at a time, each for half a second or
so. The others have nothing to ask it, so that the owner asks through them too.
"""

from collections.abc import Awaitable, Callable, Mapping, Sequence

import anyio

from dahliaarch_kernel.scheduler import AskAdvice
from dahliaarch_platform.advice import ADVICE_FAILURES

from ..logs import log_event
from .messages import AdviceFailed, AdviceGiven, OwnerMessage

# Longest wait beside the time that the policy says it takes, in seconds.
_EXTRA_WAIT_S = 1.0
# Calls that may wait here: more are failed at once, and asked again later.
_MAX_QUEUED = 32
# Calls under way at one time.
_MAX_CALLS = 8
# How often it is looked whether there are more instances to ask through, in seconds.
_ASKERS_POLL_S = 0.5

Ask = Callable[[str, Sequence[str], float], Awaitable[Mapping[str, str]]]


class Adviser:
    """Hands questions to the instances that can ask the policy, each in turn.

    Parameters
    ----------
    askers : callable
        Returns the ways to ask now, this instance's own first: each takes the
        step's name, the workers and the longest wait in seconds, returns tickets
        by worker and raises one of ADVICE_FAILURES.
    post : callable
        Hands a message to the task that decides.
    name_of : callable
        Returns the name that the policy knows a worker by.
    clock : callable
        Steady clock.
    """

    def __init__(
        self,
        askers: Callable[[], Sequence[Ask]],
        post: Callable[[OwnerMessage], None],
        name_of: Callable[[str], str],
        clock: Callable[[], float],
    ) -> None:
        """Start without questions."""
        self._askers = askers
        self._post = post
        self._name_of = name_of
        self._clock = clock
        self._question_sender, self._question_receiver = anyio.create_memory_object_stream[AskAdvice](_MAX_QUEUED)

    def ask(self, question: AskAdvice) -> None:
        """Queue a question."""
        try:
            self._question_sender.send_nowait(question)
        except anyio.WouldBlock:
            self._report_failure(question, 'too many questions wait')

    async def run(self) -> None:
        """Ask until cancelled."""
        async with anyio.create_task_group() as tasks:
            for number in range(_MAX_CALLS):
                tasks.start_soon(self._process_questions, number)

    async def _process_questions(self, number: int) -> None:
        """Ask through one of the instances, one question at a time.

        Two at a time through one instance would wait in turn at the policy, which
        works on those that were given up too: repeats lengthen its queue.
        """
        while True:
            while number >= max(1, len(self._askers())):
                await anyio.sleep(_ASKERS_POLL_S)
            question = await self._question_receiver.receive()
            askers = self._askers()
            if askers:
                await self._request_advice(question, askers[number % len(askers)])
            else:
                self._report_failure(question, 'the settings name no policy')

    async def _request_advice(self, question: AskAdvice, ask: Ask) -> None:
        terms = question.terms
        decision_s = terms.decision_s + terms.per_worker_s * len(question.worker_ids)
        step = '.'.join(str(part) for part in question.step)
        # A ticket is for the incarnation that the worker has when the policy is asked.
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
