import json

from ..explaining import explain_job, read_log_lines

JOB_ID = 'a' * 16


def write_and_read_log(tmp_path, *rows):
    path = tmp_path / 'log'
    path.write_text('not a line\n' + ''.join(f'12.3 i0 {json.dumps(row)}\n' for row in rows))
    return list(read_log_lines(path))


def test_explanation_is_in_chronological_order(tmp_path):
    known = {'at': 2.0, 'instance': 'i1', 'event': 'job_known', 'job': JOB_ID, 'queue': 'q', 'revision': 5}
    answered = {
        'at': 1.0,
        'instance': 'i0',
        'event': 'request_answered',
        'operation': 'submit',
        'target': f'/q/{JOB_ID}',
        'status': 200,
        'took_s': 0.01,
        'configuration': 3,
    }
    ordered = {'at': 3.0, 'instance': 'i1', 'event': 'run_ordered', 'task': [JOB_ID, 0, 0, 0], 'worker': 'w', 'run': 9}
    found = list(explain_job(JOB_ID, write_and_read_log(tmp_path, known, answered, ordered)))
    assert [line.split()[0] for line in found[:3]] == ['1.000', '2.000', '3.000']
    assert found[3:] == [f"not known: how run 9 of task ['{JOB_ID}', 0, 0, 0] ended"]


def test_missing_log_lines_are_reported(tmp_path):
    assert 'no line names this job' in next(explain_job(JOB_ID, write_and_read_log(tmp_path)))


def test_a_lost_run_is_explained_with_concurrent_runs(tmp_path):
    task = [JOB_ID, 0, 0, 0]
    ordered = {'at': 3.0, 'instance': 'i1', 'event': 'run_ordered', 'task': task, 'worker': 'w', 'run': 9}
    lost = {'at': 4.0, 'instance': 'i1', 'event': 'run_lost', 'task': task, 'worker': 'w', 'run': 9}
    lost |= {'why': 'worker over', 'ran_s': 0.02, 'beside': 3}
    found = list(explain_job(JOB_ID, write_and_read_log(tmp_path, ordered, lost)))
    assert 'was lost with w (worker over) after 0.02 s beside 3 others' in found[1]
    assert not any('not known: how run' in line for line in found)


def step_waiting(at_s, reason):
    counts = {'waited_s': at_s, 'tasks': 4, 'has_room_twice': True, 'has_takers_twice': True, 'used_share': 0.31}
    return {
        'at': at_s,
        'instance': 'i1',
        'event': 'step_waiting',
        'job': JOB_ID,
        'step': [JOB_ID, 0, 1],
        'reason': reason,
        **counts,
    }


def test_waiting_step_is_explained_with_the_available_capacity(tmp_path):
    found = list(explain_job(JOB_ID, write_and_read_log(tmp_path, step_waiting(1.2, 'reserved'))))
    assert f"step ['{JOB_ID}', 0, 1] of 4 tasks waits, nothing of its job has run for 1.2 s: reserved" in found[0]
    assert '(room for it twice: True, on workers that take starts: True, share of the pool in use: 0.31)' in found[0]


def test_last_wait_reason_of_a_job_without_starts_is_reported(tmp_path):
    known = {'at': 0.0, 'instance': 'i1', 'event': 'job_known', 'job': JOB_ID, 'queue': 'q', 'revision': 5}
    found = list(
        explain_job(
            JOB_ID, write_and_read_log(tmp_path, step_waiting(3.4, 'locality'), step_waiting(1.2, 'reserved'), known)
        )
    )
    assert found[-1].endswith(f"""the last reason known is "locality" (step ['{JOB_ID}', 0, 1], 3.400)""")


def test_a_job_without_starts_refers_to_the_queue_status(tmp_path):
    known = {'at': 0.0, 'instance': 'i1', 'event': 'job_known', 'job': JOB_ID, 'queue': 'q', 'revision': 5}
    assert 'see its queue in the status' in list(explain_job(JOB_ID, write_and_read_log(tmp_path, known)))[-1]


def test_start_delayed_by_other_starts_is_explained(tmp_path):
    late = {'at': 3.0, 'instance': 'i1', 'event': 'start_turn_late', 'task': [JOB_ID, 0, 0, 0], 'worker': 'w', 'run': 9}
    found = list(explain_job(JOB_ID, write_and_read_log(tmp_path, late | {'waited_s': 1.7, 'late_starts': 4})))
    assert 'run 9' in found[0]
    assert 'waited 1.7 s behind other starts' in found[0]
