"""Explains the course of a job from log lines."""

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple


class LogLine(NamedTuple):
    """One line of a log.

    Parameters
    ----------
    at_s : float
        Time at which the line was written, in seconds since 1970.
    instance : str
        Instance that wrote the line.
    event : str
        Name of the event.
    fields : dict
        All fields of the line.
    """

    at_s: float
    instance: str
    event: str
    fields: dict[str, Any]


_TEMPLATE_BY_EVENT = {
    'request_answered': "a caller's {operation} was answered {status} after {took_s} s (configuration {configuration})",
    'request_refused': 'the request was refused ({reason}), to be sent again after {retry_after_s} s',
    'job_rejected': 'the job was refused as malformed: {why}',
    'job_known': 'the owner learnt of the job on queue {queue} (store revision {revision})',
    'job_ended': 'the end of the job was kept and is shown from now on: {phase}',
    'job_cancelled': 'the owner cancelled the job',
    'step_waiting': (
        'step {step} of {tasks} tasks waits, nothing of its job has run for {waited_s} s: {reason}'
        ' (room for it twice: {has_room_twice}, on workers that take starts: {has_takers_twice},'
        ' share of the pool in use: {used_share})'
    ),
    'job_inherited': (
        'a previous owner had assigned {runs} of its tasks to workers, which were asked for them: {workers}'
    ),
    'start_dropped': 'the start of run {run} of task {task} on {worker} was not sent: it was not wanted any more',
    'run_ordered': 'task {task} was ordered to start on {worker} as run {run}',
    'stop_ordered': 'run {run} of task {task} on {worker} was ordered to stop: {why}',
    'run_ended': 'run {run} of task {task} on {worker} ended: {how}',
    'run_lost': 'run {run} of task {task} was lost with {worker} ({why}) after {ran_s} s beside {beside} others',
    'crash_counted': 'a crash of {worker} counts against task {task} (discounted: {is_discounted})',
    'task_given_up': 'task {task} was given up and its job failed: workers crashed under it: {workers}',
    'start_turn_late': 'the start of run {run} of task {task} on {worker} waited {waited_s} s behind other starts',
    'start_refused': '{worker} refused run {run} of task {task}: {status}',
    'start_unacknowledged': '{worker} did not answer the start of run {run} of task {task}, which was taken back',
    'write_unanswered': 'the store did not answer a write: {why}',
    'write_refused': 'the store refused a write (an earlier try unacknowledged: {was_ambiguous}): {why}',
    'state_unknown': 'the state could not be read: {why}',
    'cancel_outcome_unknown': 'the store could not be asked about a cancellation: {why}',
}


_RUN_END_EVENTS = frozenset(('run_ended', 'run_lost'))


def read_log_lines(path: Path) -> Iterator[LogLine]:
    """Yield the log lines of a file; lines that are not JSON log lines are skipped."""
    with path.open(encoding='utf-8') as lines:
        for text in lines:
            try:
                fields = json.loads(text[text.find('{') :])
            except ValueError:
                continue
            if isinstance(fields, dict) and 'event' in fields and 'at' in fields:
                yield LogLine(fields['at'], fields.get('instance', '?'), fields['event'], fields)


def explain_job(job_id: str, lines: Iterable[LogLine], *, as_json: bool = False) -> Iterator[str]:
    """Yield sentences on a job in chronological order, then those on information missing from the logs."""
    relevant = sorted((line for line in lines if _concerns_job(line, job_id)), key=lambda line: line.at_s)
    if as_json:
        for line in relevant:
            yield json.dumps(line.fields)
        return
    for line in relevant:
        yield f'{line.at_s:.3f} {line.instance}: {_describe(line)}'
    yield from _missing_information(relevant)


def _describe(line: LogLine) -> str:
    template = _TEMPLATE_BY_EVENT.get(line.event)
    if template is None:
        return f'{line.event} {json.dumps(line.fields)}'
    return template.format_map(line.fields)


def _concerns_job(line: LogLine, job_id: str) -> bool:
    task = line.fields.get('task')
    if isinstance(task, list) and task and task[0] == job_id:
        return True
    if line.fields.get('job') == job_id:
        return True
    return any(job_id in str(line.fields.get(name, '')) for name in ('target', 'key', 'why'))


def _missing_information(lines: list[LogLine]) -> Iterator[str]:
    """Yield sentences on information about a job that the log lines do not contain."""
    events = {line.event for line in lines}
    if not lines:
        yield 'not known: no line names this job; it was never received, or the logs are of other instances or times'
        return
    if 'request_answered' not in events:
        yield 'not known: which instance took the job; the log of that instance is missing'
    if 'job_known' not in events:
        yield 'not known: whether an owner learnt of the job; it was refused, or the log of the owner is missing'
    if 'job_known' in events and 'run_ordered' not in events:
        yield f'nothing of it was started in this time: {_last_wait_reason(lines)}'
    ordered = {(tuple(line.fields['task']), line.fields['run']) for line in lines if line.event == 'run_ordered'}
    ended = {(tuple(line.fields['task']), line.fields['run']) for line in lines if line.event in _RUN_END_EVENTS}
    for task, run in sorted(ordered - ended):
        yield f'not known: how run {run} of task {list(task)} ended'


def _last_wait_reason(lines: list[LogLine]) -> str:
    """Return the last wait reason logged for a step of a job, or a hint where to look if none was logged."""
    waiting = [line for line in lines if line.event == 'step_waiting']
    if not waiting:
        return 'see its queue in the status, and what else ran'
    last = waiting[-1]
    return f'the last reason known is "{last.fields["reason"]}" (step {last.fields["step"]}, {last.at_s:.3f})'
