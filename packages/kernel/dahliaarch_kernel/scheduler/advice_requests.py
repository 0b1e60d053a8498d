"""Requests for the outside policy's advice on steps that found no place."""

from collections.abc import Iterable

from .advice import Advice
from .effects import AskAdvice
from .placement import PlacementRequest, without_avoided
from .room import effective_demand, fits, FreeCapacity
from .state import SchedulerState
from .workers import WorkerState


def ask_advice(state: SchedulerState, request: PlacementRequest, free_capacity: FreeCapacity) -> None:
    """Ask the outside policy about the workers that a step could use next, if its queue has one.

    Parameters
    ----------
    state : SchedulerState
        State of the scheduler, to which the question is added.
    request : PlacementRequest
        Request that found no place.
    free_capacity : FreeCapacity
        Free capacity of the workers that accept starts.
    """
    step = request.step
    terms = step.job.queue.advice
    if step.advice is None or terms is None:
        return
    asked = step.advice.workers_to_query(_most_free_first(request, step.advice, free_capacity), request.now_s)
    if asked:
        state.effects.append(AskAdvice(step.step_key, asked, terms))


def _most_free_first(request: PlacementRequest, advice: Advice, free_capacity: FreeCapacity) -> Iterable[WorkerState]:
    """Return the workers worth asking about: most free accelerators first, then those with consent."""
    free_by_id = free_capacity.free_by_id
    eligible = free_capacity.admissible(request.step)
    consenting = without_avoided(request, [worker for worker in eligible if advice.consents(worker.worker_id)])
    unknown = [worker for worker in eligible if not advice.has_answer_about(worker.worker_id)]
    demand = effective_demand(request.step)
    if not any(fits(free_by_id[worker.worker_id], demand) for worker in consenting):
        # Renewed tickets could expire before they are used.
        consenting = []
    return sorted(consenting + unknown, key=lambda worker: -free_by_id[worker.worker_id].accelerators)
