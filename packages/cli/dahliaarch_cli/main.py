"""Commands for owners of jobs and for operators."""

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

Url = Annotated[str, typer.Option('--url', envvar='DAHLIAARCH_URL', help='Address of any instance, for callers.')]
Key = Annotated[str, typer.Option('--key', envvar='DAHLIAARCH_KEY', help='Key of a client account.')]
Queue = Annotated[str, typer.Argument(help='Path of the queue, for example /reconciliation/.')]
Deployment = Annotated[str, typer.Option(help=f'One of: {", ".join((*DEPLOYMENTS, DRAWN, DRAWN_LOADED))}.')]
Cores = Annotated[int, typer.Option(help='Days that are played at a time.')]
JobId = Annotated[str, typer.Argument(help='16 hexadecimal digits, chosen by the caller.')]


@app.command()
def submit(queue: Queue, job_id: JobId, job: Path, url: Url, key: Key = '') -> None:
    """Hand a job in: JOB is a file with the body of the request."""
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
    url: Annotated[str, typer.Option('--status-url', envvar='DAHLIAARCH_STATUS_URL', help='Readiness address.')],
    as_json: Annotated[bool, typer.Option('--json', help='Print the whole answer.')] = False,
) -> None:
    """Show in one look who owns the pool, what waits, who borrows and which workers are bad."""
    answer = Client(url, '').status()
    if not is_ok(answer):
        _exit_with_error(answer.unwrap_err())
    if as_json:
        typer.echo(json.dumps(answer.unwrap(), indent=2))
        return
    for name, rows in answer.unwrap().items():
        print_table(name, rows)


@app.command()
def explain(
    job_id: JobId,
    logs: Annotated[list[Path], typer.Argument(help='Files with log lines of the instances, in any order.')],
    as_json: Annotated[bool, typer.Option('--json', help='Print the lines as they were written.')] = False,
) -> None:
    """Tell from logs what became of a job, step by step, and what they do not tell."""
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
    """Tell from logs where time and core-seconds went, why jobs were late and which decisions cost most."""
    lines: list[LogLine] = []
    for path in logs:
        lines.extend(read_log_lines(path))
    histories = read_histories(lines)
    found = {
        **build_report(histories)._asdict(),
        'takeovers': takeovers(lines, histories),
        'inherited_waits': inherited_waits(lines),
    }
    if as_json:
        rows = {name: [row._asdict() for row in part] for name, part in found.items()}
        typer.echo(json.dumps(rows, indent=2))
        return
    for name, part in found.items():
        print_table(name, [row._asdict() for row in part])


@app.command()
def demo(jobs: int = 40, seed: int = 1) -> None:
    """Run real daemons against stand-ins, kill the owner meanwhile, and count."""
    counts = run_demo(jobs, seed)
    typer.echo(json.dumps(counts._asdict()))
    raise typer.Exit(0 if counts.is_right else 1)


@app.command()
def bench(workers: int = 176, waiting: int = 2000, passes: int = 400, seed: int = 1) -> None:
    """Time one pass of decisions over a large pool."""
    typer.echo(json.dumps(run_bench(workers, waiting, passes, seed)._asdict()))


@app.command()
def compare(
    deployment: Deployment = 'meters',
    days: int = 4,
    load: float = 1.2,
    seed: int = 1,
    with_bound: Annotated[bool, typer.Option('--bound', help='Tell what no scheduler could exceed, too.')] = False,
    cores: Cores = 1,
) -> None:
    """Compare the decisions with those of best fit and backfill, under a fake clock."""
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
    deployments: Annotated[str, typer.Option(help='Names, with commas between.')] = 'zones,meters,cars,drawn',
    output: Annotated[Path, typer.Option('--output', '-o', help='Folder for ablation.json and .png.')] = Path(),
    cores: Cores = 1,
) -> None:
    """Switch off each mechanism that decides, one by one, and tell what it is worth on the same days."""
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
    logs: Annotated[Path | None, typer.Option(help='Folder that keeps the logs of every soak.')] = None,
) -> None:
    """Run real daemons under random faults and check what callers and workers were promised.

    A soak that finds a violation keeps its logs and a report, in results/soak unless a folder is named.
    """
    violating_seeds = 0
    for seed in range(first, first + seeds):
        settings = control_arm(seed, without) if without else draw_settings(seed, instances, workers)
        found = run_soak(settings, logs / str(seed) if logs else None)
        typer.echo(json.dumps(found._asdict()))
        violating_seeds += bool(found.violations)
    typer.echo(f'{seeds} seeds, {violating_seeds} with a violation')
    raise typer.Exit(1 if violating_seeds else 0)


def _print_result(answer: Result[str, CallFailure], done: str = '') -> None:
    if not is_ok(answer):
        _exit_with_error(answer.unwrap_err())
    typer.echo(done or answer.unwrap())


def _exit_with_error(failure: CallFailure) -> NoReturn:
    typer.echo(f'{failure.kind}: {failure.detail}', err=True)
    raise typer.Exit(1)
