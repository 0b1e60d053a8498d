"""Settings of every test run: the same verdict every time, with the faults that KNOWN-RED.txt lists known."""

from collections.abc import Collection, Mapping
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

LIST_NAME = 'KNOWN-RED.txt'
# Folder of cases that are run by hand; an entry names one as `review/N`.
CASES_FOLDER = 'review'
CASE_PROGRAM = 'run.sh'

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile('ci')


def read_known_red(folder: Path) -> Mapping[str, str]:
    """Entries of the list by the id of a test or case: what stands up to the first comma of a line."""
    path = folder / LIST_NAME
    lines = [line.strip() for line in path.read_text().splitlines() if line.strip()] if path.exists() else []
    entries_by_id = {line.partition(',')[0].strip(): line for line in lines}
    if len(entries_by_id) < len(lines):
        raise pytest.UsageError(f'{LIST_NAME} names a test or case twice')
    return entries_by_id


def read_cases(folder: Path) -> frozenset[str]:
    """Ids of the cases that exist: each is a folder with a program that runs it."""
    programs = (folder / CASES_FOLDER).glob(f'*/{CASE_PROGRAM}')
    return frozenset(f'{CASES_FOLDER}/{program.parent.name}' for program in programs)


class KnownFailures:
    """Runs listed tests, and reports them apart from those that end a run red. Listed cases are reported only."""

    def __init__(self, entries_by_id: Mapping[str, str], cases: Collection[str]) -> None:
        self._case_entries = [entry for entry_id, entry in entries_by_id.items() if entry_id in cases]
        self._entries_by_id = {entry_id: entry for entry_id, entry in entries_by_id.items() if entry_id not in cases}
        self._reports_by_id: dict[str, list[pytest.TestReport]] = {}

    # Before -k, -m and --deselect: a test that these leave out exists.
    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        missing = set(self._entries_by_id).difference(item.nodeid for item in items)
        if missing and _collects_everything(config):
            raise pytest.UsageError(f'{LIST_NAME} names no test: {", ".join(sorted(missing))}')
        for item in items:
            if item.nodeid in self._entries_by_id:
                item.add_marker(pytest.mark.xfail(reason=f'listed in {LIST_NAME}', strict=False))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        if report.nodeid in self._entries_by_id:
            self._reports_by_id.setdefault(report.nodeid, []).append(report)

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        if self._reports_by_id or self._case_entries:
            terminalreporter.section(f'{LIST_NAME}: known to fail')
        for test_id, reports in self._reports_by_id.items():
            terminalreporter.write_line(f'{_describe_verdict(reports)}: {self._entries_by_id[test_id]}')
        for entry in self._case_entries:
            terminalreporter.write_line(f'NOT RUN HERE: {entry}')
        left_out = len(self._entries_by_id) - len(self._reports_by_id)
        if left_out:
            terminalreporter.write_line(f'{LIST_NAME}: listed tests that are not part of this run: {left_out}')


def _collects_everything(config: pytest.Config) -> bool:
    """Whether no test was left out by a path or a filter of paths."""
    whole = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    return whole and not (config.option.ignore or config.option.ignore_glob)


def _describe_verdict(reports: list[pytest.TestReport]) -> str:
    failures = [report for report in reports if hasattr(report, 'wasxfail') and report.skipped]
    if failures:
        crash = getattr(failures[0].longrepr, 'reprcrash', None)
        message = crash.message.partition('\n')[0] if crash else failures[0].longreprtext
        return f'FAILED ({message})'
    if any(report.failed for report in reports):
        return 'FAILED'
    if any(report.when == 'call' and report.passed for report in reports):
        return 'PASSED, though it is listed'
    return 'SKIPPED'


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(
        KnownFailures(read_known_red(config.rootpath), read_cases(config.rootpath)), 'known-failures'
    )
