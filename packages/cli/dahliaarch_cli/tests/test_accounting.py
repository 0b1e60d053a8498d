"""Accounting reports are derived from log lines alone."""

import pytest

from ..accounting import build_report, describe_preemptions, inherited_waits, read_histories, takeovers
from ..explaining import LogLine

URGENT, BATCH = 'a' * 16, 'b' * 16
START_S = 1000.0


def log_line(after_s, event, **fields):
    return LogLine(START_S + after_s, 'i1', event, fields)


def job_known(after_s, job, queue, *, cores=10.0, checkpoints=False, stretch=2.0):
    summary = '1 x 1000m 10MB 1acc, 1s' + (', checkpoints' if checkpoints else '')
    return log_line(
        after_s,
        'job_known',
        job=job,
        queue=queue,
        accepted_s=START_S + after_s,
        occurrences=1,
        steps=[summary],
        cores=[cores],
        stretch=stretch,
        target_s=0.5,
    )


def run_ordered(after_s, job, run=1, worker='w'):
    return log_line(after_s, 'run_ordered', task=[job, 0, 0, 0], run=run, worker=worker)


def stop_ordered(after_s, job, why, run=1):
    return log_line(after_s, 'stop_ordered', task=[job, 0, 0, 0], run=run, worker='w', why=why)


def run_ended(after_s, job, how, run=1):
    return log_line(after_s, 'run_ended', task=[job, 0, 0, 0], run=run, worker='w', how=how)


def job_ended(after_s, job):
    return log_line(after_s, 'job_ended', job=job, phase='succeeded')


def build_report_from(*lines):
    return build_report(read_histories(lines))


def preemption_report(*, checkpoints):
    """Return a report in which an urgent job preempts a batch job at 3 s, which runs again from 6 s on."""
    return build_report_from(
        job_known(0.0, BATCH, 'batch', checkpoints=checkpoints),
        run_ordered(0.0, BATCH),
        job_known(3.0, URGENT, 'urgent'),
        stop_ordered(3.0, BATCH, f'makes room for {URGENT}'),
        run_ended(3.5, BATCH, 'stopped'),
        run_ordered(3.5, URGENT),
        run_ended(5.5, URGENT, 'done'),
        job_ended(5.6, URGENT),
        run_ordered(6.0, BATCH, 2),
        run_ended(12.0, BATCH, 'done', 2),
        job_ended(12.1, BATCH),
    )


def test_work_of_a_preempted_run_is_wasted_unless_checkpointed():
    lost = {row.cause: row.core_s for row in preemption_report(checkpoints=False).work}
    assert lost == {'done': pytest.approx(80.0), 'makes room': pytest.approx(35.0)}
    saved = {row.cause: row.core_s for row in preemption_report(checkpoints=True).work}
    assert saved == {'done': pytest.approx(80.0), 'makes room (work saved)': pytest.approx(35.0)}


def test_the_costliest_decision_reports_reason_and_jobs():
    found = preemption_report(checkpoints=False).decisions
    assert [(each.why, each.runs, each.jobs) for each in found] == [(f'makes room for {URGENT}', 1, (BATCH,))]
    assert found[0].core_s == pytest.approx(35.0)
    assert not preemption_report(checkpoints=True).decisions


def test_decision_times_are_relative_to_the_first_submission():
    assert preemption_report(checkpoints=False).decisions[0].at_s == pytest.approx(3.0)


def test_preemptions_are_reported_by_job_and_use_of_capacity():
    found = preemption_report(checkpoints=False)
    assert [(row.job, row.ended, row.stops, row.most_of_one_task) for row in found.stopped] == [
        (BATCH, 'succeeded', 1, 1)
    ]
    assert [(row.use, row.stops) for row in found.room] == [('it began there', 1)]
    assert found.room[0].core_s == pytest.approx(35.0)
    assert not preemption_report(checkpoints=True).room[0].core_s


@pytest.mark.parametrize(
    ('began', 'use'),
    [
        ((), 'it never began'),
        ((run_ordered(5.5, URGENT),), 'it began there late'),
        ((run_ordered(4.0, URGENT, worker='v'),), 'it began elsewhere'),
        ((run_ordered(9.0, URGENT),), 'it began much later'),
    ],
)
def test_freed_capacity_that_was_not_used_promptly_is_reported(began, use):
    found = build_report_from(
        job_known(0.0, BATCH, 'batch'),
        run_ordered(0.0, BATCH),
        job_known(3.0, URGENT, 'urgent'),
        stop_ordered(3.0, BATCH, f'makes room for {URGENT}'),
        run_ended(3.5, BATCH, 'stopped'),
        *began,
    )
    assert [row.use for row in found.room] == [use]


def test_describe_preemptions_returns_a_sentence():
    histories = read_histories(
        (
            job_known(0.0, BATCH, 'batch'),
            run_ordered(0.0, BATCH),
            stop_ordered(3.0, BATCH, f'makes room for {URGENT}'),
            run_ended(3.5, BATCH, 'stopped'),
        )
    )
    assert describe_preemptions(histories[BATCH]).startswith('stopped 1 times to make room for 1 jobs')
    assert not describe_preemptions(None)


def test_timeliness_is_measured_against_the_latency_objective():
    rows = {row.queue: row for row in preemption_report(checkpoints=False).queues}
    assert (rows['urgent'].in_time, rows['urgent'].late) == (1, 0)
    assert rows['urgent'].worth_in_time == pytest.approx(1.0)
    # The latency is 12.1 s; the objective is 12.5 s: a stretch of 2 times 6 s of work, plus 0.5 s.
    assert (rows['batch'].in_time, rows['batch'].late) == (1, 0)


def report_for_single_run(started_s, ended_s, completed_s):
    run = run_ordered(started_s, URGENT), run_ended(ended_s, URGENT, 'done')
    return build_report_from(job_known(0.0, URGENT, 'q'), *run, job_ended(completed_s, URGENT))


@pytest.mark.parametrize(
    ('found', 'cause'),
    [
        (report_for_single_run(3.0, 4.0, 4.1), 'waited for room'),
        (report_for_single_run(0.0, 1.0, 9.0), 'end kept late'),
        (build_report_from(job_known(0.0, URGENT, 'q')), 'never started'),
    ],
)
def test_first_delay_is_reported_as_the_cause(found, cause):
    assert [(row.cause, row.cases) for row in found.late] == [(cause, 1)]


def test_refused_job_is_counted_in_the_window_of_its_submission():
    refused = log_line(5.0, 'request_answered', operation='submit', target=f'/q/{URGENT}', status=503, took_s=0.0)
    found = build_report_from(job_known(0.0, BATCH, 'batch'), refused)
    assert [(row.from_s, row.jobs, row.in_time) for row in found.windows] == [(0.0, 1, 0), (4.0, 1, 0)]
    assert [row.cause for row in found.late] == ['never started', 'refused']


def test_report_without_log_lines_is_empty():
    found = build_report_from()
    assert not any(found)


def run_number(epoch, number=1):
    return (epoch << 20) + number


def logged_by(instance, each):
    return each._replace(instance=instance)


def test_a_takeover_reports_waits_and_starts_of_two_owners():
    lines = [
        log_line(0.0, 'owner_ready', epoch=7),
        job_known(0.5, BATCH, 'batch'),
        run_ordered(0.6, BATCH, run_number(7)),
        logged_by('i2', job_known(2.75, URGENT, 'urgent')._replace(fields=job_known(1.0, URGENT, 'urgent').fields)),
        logged_by('i2', log_line(3.0, 'owner_ready', epoch=9)),
        logged_by('i2', run_ordered(3.25, URGENT, run_number(9))),
        run_ordered(3.75, BATCH, run_number(7, 2)),
    ]
    (found,) = takeovers(lines, read_histories(lines))
    assert (found.at_s, found.epoch, found.jobs, found.urgent) == (3.0, 9, 1, 1)
    assert found.longest_wait_s == pytest.approx(2.25)
    assert found.mean_urgent_wait_s == pytest.approx(2.25)
    assert found.orders_of_two_s == pytest.approx(0.5)


def test_no_takeover_is_reported_without_an_owner_change():
    lines = [
        log_line(0.0, 'owner_ready', epoch=7),
        job_known(0.5, BATCH, 'batch'),
        run_ordered(0.6, BATCH, run_number(7)),
    ]
    assert not takeovers(lines, read_histories(lines))


def step_waiting(after_s, job, reason, *, has_takers_twice):
    return logged_by('i2', log_line(after_s, 'step_waiting', job=job, reason=reason, has_takers_twice=has_takers_twice))


def inherited_job(after_s, job):
    return logged_by(
        'i2',
        job_known(after_s, job, 'batch')._replace(fields={**job_known(0.5, job, 'batch').fields, 'owner_epoch': 7}),
    )


def test_inherited_waits_are_reported_by_reason():
    started, late, full, never, running = (f'{number:016x}' for number in range(5))
    lines = [
        log_line(0.0, 'owner_ready', epoch=7),
        run_ordered(1.0, running, run_number(7)),
        *(inherited_job(2.75, job) for job in (started, late, full, never, running)),
        logged_by('i2', log_line(2.8, 'job_inherited', job=running, runs=1, workers=['w'])),
        logged_by('i2', log_line(3.0, 'owner_ready', epoch=9)),
        logged_by('i2', run_ordered(3.25, started, run_number(9))),
        step_waiting(4.0, late, 'unknown start', has_takers_twice=True),
        step_waiting(4.0, full, 'no capacity', has_takers_twice=False),
        step_waiting(4.0, never, 'workers unavailable', has_takers_twice=True),
        logged_by('i2', run_ordered(5.0, late, run_number(9, 2))),
        logged_by('i2', run_ordered(6.0, full, run_number(9, 3))),
        log_line(7.0, 'stopped'),
    ]
    (waits,) = inherited_waits(lines)
    assert (waits.at_s, waits.owner, waits.epoch) == (3.0, 'i2', 9)
    assert waits.without_owner_s == pytest.approx(2.0)
    assert (waits.jobs, waits.never_started) == (3, 1)
    assert (waits.median_s, waits.longest_s) == (pytest.approx(2.0), pytest.approx(4.0))
    assert waits.jobs_by_reason == {'unknown start': 1, 'workers unavailable': 1}
