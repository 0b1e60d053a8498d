"""Tables for terminals of 80 columns."""

from collections.abc import Mapping, Sequence

from rich import box
from rich.console import Console
from rich.table import Table

from dahliaarch_standins.comparison import Effect, Gap

_console = Console()


def print_table(name: str, rows: object) -> None:
    """Print a list of mappings as a table; any other value on one line."""
    if not isinstance(rows, list):
        _console.print(f'{name}: {rows}')
        return
    table = Table(title=name)
    columns = list(rows[0]) if rows else []
    for column in columns:
        table.add_column(column.replace('_', ' '), overflow='fold')
    for row in rows:
        table.add_row(*(_format_cell(row[column]) for column in columns))
    _console.print(table)


def print_transposed(name: str, rows: Sequence[Mapping[str, object]], heading: str) -> None:
    """Print a transposed table: one column per row, headed by its value for the key `heading`."""
    table = Table('', *(_format_cell(row[heading]) for row in rows), title=name)
    for measure in rows[0]:
        if measure != heading:
            table.add_row(measure, *(_format_cell(row[measure]) for row in rows))
    _console.print(table)


def print_gap(gap: Gap) -> None:
    """Print the upper bound for any scheduler, the value reached and the loss by cause."""
    table = Table('cause', 'worth lost', 'thrown away', title=f'bound {gap.bound:.3f}, reached {gap.net:.3f}')
    for loss in gap.losses:
        table.add_row(loss.cause, _format_cell(loss.worth), _format_cell(loss.waste))
    table.add_section()
    worth, waste = (sum(losses) for losses in zip(*((loss.worth, loss.waste) for loss in gap.losses), strict=True))
    table.add_row('all', _format_cell(worth), _format_cell(waste))
    table.add_row('beyond any scheduler', _format_cell(gap.beyond_reach), '')
    _console.print(table)


def print_effects(effects: Sequence[Effect]) -> None:
    """Print the gain of each mechanism with its margin, by deployment."""
    deployments = list(dict.fromkeys(effect.deployment for effect in effects))
    cell_by_key = {
        (effect.mechanism, effect.deployment): f'{effect.gain:+.3f}±{effect.margin:.3f}' for effect in effects
    }
    table = Table('worth of', *deployments, title=f'{effects[0].days} days each', box=box.SIMPLE)
    for mechanism in dict.fromkeys(effect.mechanism for effect in effects):
        table.add_row(mechanism, *(cell_by_key[mechanism, deployment] for deployment in deployments))
    _console.print(table)


def _format_cell(cell: object) -> str:
    if isinstance(cell, (tuple, list)):
        return ' '.join(str(part) for part in cell)
    return f'{cell:.3f}' if isinstance(cell, float) else str(cell)
