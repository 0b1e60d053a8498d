import json

from ..explaining import explain_job, read_lines

A = 'a' * 16


def lines(tmp_path, *rows):
    path = tmp_path / 'log'
    path.write_text('not a line\n' + ''.join(f'12.3 i0 {json.dumps(row)}\n' for row in rows))
    return list(read_lines(path))


def test_a_job_is_told_in_order_of_time(tmp_path):
    known = {'at': 2.0, 'instance': 'i1', 'event': 'job_known', 'job': A, 'queue': 'q', 'revision': 5}
    answered = {
        'at': 1.0,
        'instance': 'i0',
        'event': 'request_answered',
        'operation': 'submit',
        'target': f'/q/{A}',
        'status': 200,
        'took_s': 0.01,
        'configuration': 3,
    }
    ordered = {'at': 3.0, 'instance': 'i1', 'event': 'run_ordered', 'task': [A, 0, 0, 0], 'worker': 'w', 'run': 9}
    told = list(explain_job(A, lines(tmp_path, known, answered, ordered)))
    assert [line.split()[0] for line in told[:3]] == ['1.000', '2.000', '3.000']
    assert told[3:] == [f"not known: how run 9 of task ['{A}', 0, 0, 0] ended"]


def test_what_the_logs_do_not_tell_is_said(tmp_path):
    assert 'no line names this job' in next(explain_job(A, lines(tmp_path)))


def test_a_run_that_was_lost_with_its_worker_is_told_with_what_went_beside_it(tmp_path):
    task = [A, 0, 0, 0]
    ordered = {'at': 3.0, 'instance': 'i1', 'event': 'run_ordered', 'task': task, 'worker': 'w', 'run': 9}
    lost = {'at': 4.0, 'instance': 'i1', 'event': 'run_lost', 'task': task, 'worker': 'w', 'run': 9}
    lost |= {'why': 'worker over', 'ran_s': 0.02, 'beside': 3}
    told = list(explain_job(A, lines(tmp_path, ordered, lost)))
    assert 'was lost with w (worker over) after 0.02 s beside 3 others' in told[1]
    assert not any('not known: how run' in line for line in told)
