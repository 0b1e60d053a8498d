"""Commands for job owners and operators."""

import json
from pathlib import Path
from typing import Annotated, NoReturn

import typer
from result import is_ok, Result

from dahliaarch_standins.bench import run_bench
from dahliaarch_standins.comparison import ablate as ablate_mechanisms
from dahliaarch_standins.comparison import compare as compare_schedulers
from dahliaarch_standins.comparison import DEPLOYMENTS, DRAWN, DRAWN_LOADED, gap_on, plot_effects
from dahliaarch_standins.demo import run_demo
from dahliaarch_standins.soak import control_arm, draw_settings, PROTECTIONS, run_soak

from .accounting import build_report, describe_preemptions, inherited_waits, read_histories, takeovers
from .client import CallFailure, Client
from .explaining import explain_job, LogLine, read_log_lines
from .printing import print_effects, print_gap, print_table, print_transposed

app = typer.Typer(no_args_is_help=True, help=__doc__)

Url = Annotated[str, typer.Option('--url', envvar='DAHLIAARCH_URL', help='URL of the client API of any instance.')]
Key = Annotated[str, typer.Option('--key', envvar='DAHLIAARCH_KEY', help='API key of a client account.')]
Queue = Annotated[str, typer.Argument(help='Path of the queue, for example /reconciliation/.')]
Deployment = Annotated[str, typer.Option(help=f'One of: {", ".join((*DEPLOYMENTS, DRAWN, DRAWN_LOADED))}.')]
Cores = Annotated[int, typer.Option(help='Number of days simulated in parallel.')]
JobId = Annotated[str, typer.Argument(help='Job id of 16 hexadecimal digits, chosen by the caller.')]


@app.command()
def submit(queue: Queue, job_id: JobId, job: Path, url: Url, key: Key = '') -> None:
    """Submit a job: JOB is a file with the request body."""
    _print_result(Client(url, key).submit(queue, job_id, job.read_bytes()), 'accepted')


@app.command()
def state(queue: Queue, job_id: JobId, url: Url, key: Key = '') -> None:
    """Show the state of a job."""
    _print_result(Client(url, key).state(queue, job_id))


@app.command()
def cancel(queue: Queue, job_id: JobId, url: Url, key: Key = '') -> None:
    """Cancel a job."""
    _print_result(Client(url, key).cancel(queue, job_id), 'cancelled')


@app.command()
def status(
    url: Annotated[
        str,
        typer.Option('--status-url', envvar='DAHLIAARCH_STATUS_URL', help='URL of the readiness port of an instance.'),
    ],
    as_json: Annotated[bool, typer.Option('--json', help='Print the full response as JSON.')] = False,
) -> None:
    """Show the owner of the pool, waiting work, borrowing accounts and unhealthy workers."""
    response = Client(url, '').status()
    if not is_ok(response):
        _exit_with_error(response.unwrap_err())
    if as_json:
        typer.echo(json.dumps(response.unwrap(), indent=2))
        return
    for name, rows in response.unwrap().items():
        print_table(name, rows)


@app.command()
def explain(
    job_id: JobId,
    logs: Annotated[list[Path], typer.Argument(help='Files with log lines of the instances, in any order.')],
    as_json: Annotated[bool, typer.Option('--json', help='Print the log lines as JSON.')] = False,
) -> None:
    """Explain the course of a job from logs, and list the information missing from them."""
    lines: list[LogLine] = []
    for path in logs:
        lines.extend(read_log_lines(path))
    for sentence in explain_job(job_id, lines, as_json=as_json):
        typer.echo(sentence)
    report = '' if as_json else describe_preemptions(read_histories(lines).get(job_id))
    if report:
        typer.echo(report)


@app.command(name='account')
def show_account(
    logs: Annotated[list[Path], typer.Argument(help='Files with log lines of the instances, in any order.')],
    as_json: Annotated[bool, typer.Option('--json', help='Print one JSON object.')] = False,
) -> None:
    """Report from logs the use of time and core-seconds, the causes of late jobs and the costliest decisions."""
    lines: list[LogLine] = []
    for path in logs:
        lines.extend(read_log_lines(path))
    histories = read_histories(lines)
    tables = {
        **build_report(histories)._asdict(),
        'takeovers': takeovers(lines, histories),
        'inherited_waits': inherited_waits(lines),
    }
    if as_json:
        rows = {name: [row._asdict() for row in part] for name, part in tables.items()}
        typer.echo(json.dumps(rows, indent=2))
        return
    for name, part in tables.items():
        print_table(name, [row._asdict() for row in part])


@app.command()
def demo(jobs: int = 40, seed: int = 1) -> None:
    """Run real daemons against a simulated platform, kill the owner and count lost jobs and duplicated tasks."""
    counts = run_demo(jobs, seed)
    typer.echo(json.dumps(counts._asdict()))
    raise typer.Exit(0 if counts.is_correct else 1)


@app.command()
def bench(workers: int = 176, waiting: int = 2000, passes: int = 400, seed: int = 1) -> None:
    """Measure the duration of scheduling passes over a large pool."""
    typer.echo(json.dumps(run_bench(workers, waiting, passes, seed)._asdict()))


@app.command()
def compare(
    deployment: Deployment = 'meters',
    days: int = 4,
    load: float = 1.2,
    seed: int = 1,
    with_bound: Annotated[bool, typer.Option('--bound', help='Also print an upper bound for any scheduler.')] = False,
    cores: Cores = 1,
) -> None:
    """Compare the scheduler with best-fit and backfill schedulers on simulated time."""
    seeds = range(seed, seed + days)
    rows = compare_schedulers(deployment, seeds, load, workers=cores)
    print_transposed(f'{deployment}, {days} days, load {load}', [row._asdict() for row in rows], 'scheduler')
    if with_bound:
        print_gap(gap_on(deployment, seeds, load, cores))


@app.command()
def ablate(
    days: int = 40,
    load: float = 1.0,
    seed: int = 1,
    deployments: Annotated[str, typer.Option(help='Comma-separated names of deployments.')] = 'zones,meters,cars,drawn',
    output: Annotated[Path, typer.Option('--output', '-o', help='Folder for ablation.json and .png.')] = Path(),
    cores: Cores = 1,
) -> None:
    """Disable each scheduling mechanism in turn and measure its effect on the same simulated days."""
    effects = ablate_mechanisms(range(seed, seed + days), load, deployments=deployments.split(','), workers=cores)
    output.mkdir(parents=True, exist_ok=True)
    rows = [effect._asdict() for effect in effects]
    (output / 'ablation.json').write_text(json.dumps(rows, indent=2), encoding='utf-8')
    plot_effects(effects, output / 'ablation.png')
    print_effects(effects)


@app.command()
def soak(
    first: int = 1,
    seeds: int = 8,
    instances: int = 3,
    workers: int = 5,
    without: Annotated[str, typer.Option(help=f'Control arm, one of: {", ".join(PROTECTIONS)}.')] = '',
    logs: Annotated[Path | None, typer.Option(help='Folder for the logs of every soak test.')] = None,
) -> None:
    """Run real daemons under random faults and check the guarantees given to callers and workers.

    The logs and a report of a soak test with a violation are kept, in results/soak unless a folder is given.
    """
    violating_seeds = 0
    for seed in range(first, first + seeds):
        settings = control_arm(seed, without) if without else draw_settings(seed, instances, workers)
        soak_result = run_soak(settings, logs / str(seed) if logs else None)
        typer.echo(json.dumps(soak_result._asdict()))
        violating_seeds += bool(soak_result.violations)
    typer.echo(f'{seeds} seeds, {violating_seeds} with a violation')
    raise typer.Exit(1 if violating_seeds else 0)


def _print_result(response: Result[str, CallFailure], success_message: str = '') -> None:
    if not is_ok(response):
        _exit_with_error(response.unwrap_err())
    typer.echo(success_message or response.unwrap())


def _exit_with_error(failure: CallFailure) -> NoReturn:
    typer.echo(f'{failure.kind}: {failure.detail}', err=True)
    raise typer.Exit(1)
