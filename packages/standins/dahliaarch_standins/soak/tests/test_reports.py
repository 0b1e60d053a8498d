"""Tests of the report and logs that a soak keeps after a violation or an error."""

import json

import anyio
import pytest

from dahliaarch_standins.platform import StoreStandIn, WorkerStandIn
from dahliaarch_standins.platform.workers import AcknowledgedEnd, Ended, Started
from dahliaarch_standins.soak import core, run_soak, SoakSettings
from dahliaarch_standins.soak.plans import draw_plan
from dahliaarch_standins.soak.reports import new_folder, Origin, write_report
from dahliaarch_standins.soak.violations import Violation

JOB = 'a' * 16
TASK = f'{JOB}.0.1.1'
OTHER = f'{"b" * 16}.0.0.0'
SETTINGS = SoakSettings(7)
DOUBLED = Violation('never two runs of a task at a time', f'{TASK}: 5, then 5')


def restarted_worker():
    worker = WorkerStandIn('w0', 'svc', 'r0', StoreStandIn())
    worker.starts = [Started('w0', TASK, 5, 9, 12.0, 1), Started('w0', TASK, 5, 9, 10.0, 0)]
    worker.starts.append(Started('w0', OTHER, 6, 9, 10.5, 0))
    worker.ends = [Ended('w0', TASK, 5, 'crashed', 11.0, 0), Ended('w0', TASK, 5, 'done', 13.0, 1)]
    worker.acknowledged_ends = {AcknowledgedEnd('w0', TASK, 5, 1): 13.5}
    return worker


@pytest.mark.parametrize('violation', [DOUBLED, Violation('an accepted job is done', f'{JOB}: running')])
def test_a_report_has_the_timeline_of_violating_tasks(tmp_path, violation):
    plan = draw_plan(SETTINGS)
    path = write_report(tmp_path, SETTINGS, plan, [violation], [restarted_worker()], Origin(10.0, 1000.0))
    report = json.loads(path.read_text())
    assert report['settings']['seed'] == 7
    assert [fault['at_s'] for fault in report['faults']] == [fault.at_s for fault in plan]
    assert report['violations'] == [violation._asdict()]
    assert report['timeline'] == [
        f'0.000 s (1000.000) w0 incarnation 0: {TASK} run 5 started, fence 9',
        f'1.000 s (1001.000) w0 incarnation 0: {TASK} run 5 ended, crashed',
        f'2.000 s (1002.000) w0 incarnation 1: {TASK} run 5 started, fence 9',
        f'3.000 s (1003.000) w0 incarnation 1: {TASK} run 5 ended, done',
        f'3.500 s (1003.500) w0 incarnation 1: {TASK} run 5 noted as ended',
    ]


def test_only_the_latest_folders_are_kept(tmp_path):
    folders = [new_folder(seed, tmp_path) for seed in range(25)]
    assert sorted(tmp_path.iterdir()) == sorted(folders[5:])


def run_soak_with_outcome(monkeypatch, tmp_path, outcome):
    async def run(settings, folder):
        (folder / 'i0.log').touch()
        await anyio.sleep(0)
        if isinstance(outcome, Exception):
            raise outcome
        report = write_report(folder, settings, (), outcome, (), Origin(0.0, 0.0)) if outcome else ''
        return core.SoakResult(settings.seed, (), 1, 1, 0, 1, 1, 0, outcome, str(report))

    monkeypatch.setattr(core, '_run', run)
    return run_soak(SETTINGS, results_folder=tmp_path)


def test_logs_and_report_of_a_violation_are_kept_and_named(monkeypatch, tmp_path):
    result = run_soak_with_outcome(monkeypatch, tmp_path, (DOUBLED,))
    (folder,) = tmp_path.iterdir()
    assert result.report == str(folder / 'report.json')
    assert {path.name for path in folder.iterdir()} == {'i0.log', 'report.json'}


def test_nothing_is_kept_of_a_soak_without_a_violation(monkeypatch, tmp_path):
    assert not run_soak_with_outcome(monkeypatch, tmp_path, ()).report
    assert not list(tmp_path.iterdir())


def test_logs_of_an_aborted_soak_are_kept_and_named(monkeypatch, tmp_path):
    with pytest.raises(TimeoutError) as failure:
        run_soak_with_outcome(monkeypatch, tmp_path, TimeoutError())
    (folder,) = tmp_path.iterdir()
    assert str(folder) in ''.join(failure.value.__notes__)
