"""Reports and logs of soaks that found a violation or were aborted."""

import json
import re
import shutil
import tempfile
import time
from collections.abc import Iterable, Iterator, Sequence
from contextlib import suppress
from operator import itemgetter
from pathlib import Path
from typing import NamedTuple

from ..platform import WorkerStandIn
from .plans import Fault
from .settings import SoakSettings
from .violations import Violation

REPORT_NAME = 'report.json'
# Default folder of logs and reports, relative to the working directory.
RESULTS_FOLDER = Path('results', 'soak')
# Maximum number of soaks in that folder, of which the latest are kept.
_MAX_KEPT_FOLDERS = 20
# Id of a job or of one of its tasks.
_ID_PATTERN = re.compile(r'\b[0-9a-f]{16}(?:\.\d+\.\d+\.\d+)?\b')
# Decimal places of times in a timeline.
_TIME_DECIMALS = 3


class Origin(NamedTuple):
    """Start time of a soak, by the monotonic clock and as seconds since 1970, as daemons log it."""

    steady_s: float
    wall_s: float


def origin_now() -> Origin:
    """Return the current time as the origin of a timeline."""
    return Origin(time.monotonic(), time.time())


def new_folder(seed: int, results_folder: Path = RESULTS_FOLDER) -> Path:
    """Create a folder for a soak, and remove the oldest folders above the limit."""
    results_folder.mkdir(parents=True, exist_ok=True)
    by_age = sorted(filter(Path.is_dir, results_folder.iterdir()), key=_modified_s)
    for path in by_age[: max(0, len(by_age) + 1 - _MAX_KEPT_FOLDERS)]:
        shutil.rmtree(path, ignore_errors=True)
    return Path(tempfile.mkdtemp(prefix=f'{seed}-', dir=results_folder))


def _modified_s(path: Path) -> float:
    # Concurrent soaks remove folders too.
    with suppress(FileNotFoundError):
        return path.stat().st_mtime
    return 0.0


def write_report(
    folder: Path,
    settings: SoakSettings,
    plan: Sequence[Fault],
    violations: Sequence[Violation],
    workers: Sequence[WorkerStandIn],
    origin: Origin,
) -> Path:
    """Write a report of violations with the injected faults and a timeline of the affected tasks.

    Parameters
    ----------
    folder : Path
        Folder of the logs of the daemons.
    settings : SoakSettings
        Settings of the soak.
    plan : sequence of Fault
        Injected faults, with times relative to the origin.
    violations : sequence of Violation
        Violations found.
    workers : sequence of WorkerStandIn
        Workers on which tasks ran.
    origin : Origin
        Time at which the injection of faults began.
    """
    names = {name for each in violations for name in _ID_PATTERN.findall(each.detail)}
    report = {
        'settings': settings._asdict(),
        'begun_wall_s': origin.wall_s,
        'faults': [fault._asdict() for fault in plan],
        'violations': [each._asdict() for each in violations],
        'timeline': list(timeline(names, workers, origin)),
    }
    path = folder / REPORT_NAME
    path.write_text(json.dumps(report, indent=2), encoding='utf-8')
    return path


def timeline(names: Iterable[str], workers: Iterable[WorkerStandIn], origin: Origin) -> Iterator[str]:
    """Yield starts, ends and recorded ends of the given jobs or tasks on all workers, by time."""
    wanted = frozenset(names)
    found = [each for worker in workers for each in _worker_events(worker)]
    for at_s, task, text in sorted(found, key=itemgetter(0)):
        if wanted & {task, task.partition('.')[0]}:
            since_s = at_s - origin.steady_s
            yield f'{since_s:.{_TIME_DECIMALS}f} s ({origin.wall_s + since_s:.{_TIME_DECIMALS}f}) {text}'


def _worker_events(worker: WorkerStandIn) -> Iterator[tuple[float, str, str]]:
    for start in worker.starts:
        where = _run_label(start.worker, start.incarnation, start.task, start.run)
        yield start.at_s, start.task, f'{where} started, fence {start.fence}'
    for end in worker.ends:
        yield end.at_s, end.task, f'{_run_label(end.worker, end.incarnation, end.task, end.run)} ended, {end.how}'
    for acknowledged_end, at_s in worker.acknowledged_ends.items():
        where = _run_label(
            acknowledged_end.worker, acknowledged_end.incarnation, acknowledged_end.task, acknowledged_end.run
        )
        yield at_s, acknowledged_end.task, f'{where} noted as ended'


def _run_label(worker: str, incarnation: int, task: str, run: int) -> str:
    return f'{worker} incarnation {incarnation}: {task} run {run}'
