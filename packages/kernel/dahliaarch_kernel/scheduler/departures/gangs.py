"""Stops the remaining members of gangs that have lost one, since their work can't be of use any more.

Workers end these members themselves, but not before they learn of the loss. A gang restarts
only when all of its members have ended.
"""

from ..mechanisms import Mechanism
from ..runs import Run, RunPhase
from ..state import SchedulerState


def note_lost_member(state: SchedulerState, run: Run) -> None:
    """Record that a run came to nothing, before its task may start again."""
    step = state.step_of(run.key)
    if step is not None and step.spec.gang and run.key.task_index not in step.done:
        state.broken_gang_runs.add((step, run.number))


def stop_broken_gangs(state: SchedulerState) -> None:
    """Stop the members that are left of gangs that have lost one since the last pass."""
    broken, state.broken_gang_runs = state.broken_gang_runs, set()
    if not state.settings.has(Mechanism.EARLY_MOVES):
        return
    for step, number in broken:
        for index, member in tuple(step.run_by_index.items()):
            if member.number == number and index not in step.done and member.phase is not RunPhase.STOPPING:
                state.stop(member, 'a member of the gang has ended')
