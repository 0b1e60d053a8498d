"""The list of known failures: one verdict for every run of the tests."""

from pathlib import Path

import pytest

pytest_plugins = ('pytester',)

CONFTEST = Path(__file__).parents[1] / 'conftest.py'
SETTINGS = """
[pytest]
testpaths = tests
addopts = -q -p no:cacheprovider --import-mode=importlib
"""
SUITE = """
import pytest

@pytest.mark.parametrize('seed', [1, 2])
def test_seeds(seed):
    assert seed == 1, 'see results'

@pytest.fixture
def broken():
    raise OSError('no worker')

def test_setup(broken):
    pass

def test_sound():
    pass
"""
FAILED_SEED = 'tests/test_suite.py::test_seeds[2]'
FAILED_SETUP = 'tests/test_suite.py::test_setup'
SOUND = 'tests/test_suite.py::test_sound'


@pytest.fixture
def project(pytester):
    pytester.makeconftest(CONFTEST.read_text())
    pytester.makeini(SETTINGS)
    folder = pytester.mkdir('tests')
    (folder / 'test_suite.py').write_text(SUITE)
    return pytester


def add_case(project, number):
    folder = project.path / 'review' / number
    folder.mkdir(parents=True)
    program = folder / 'run.sh'
    program.write_text('exit 1')
    return program


def run_listed(project, *test_ids, options=()):
    (project.path / 'KNOWN-RED.txt').write_text(''.join(f'{test_id}, `pytest`, now and then\n' for test_id in test_ids))
    return project.runpytest_inprocess(*options)


def test_listed_failures_run_and_do_not_end_the_run_red(project):
    result = run_listed(project, FAILED_SEED, FAILED_SETUP)
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=2, xfailed=2)
    result.stdout.fnmatch_lines(
        [
            'FAILED (AssertionError: see results): tests/test_suite.py::test_seeds[[]2], `pytest`, now and then',
            'FAILED (OSError: no worker): tests/test_suite.py::test_setup, `pytest`, now and then',
        ]
    )


def test_failures_that_are_not_listed_end_the_run_red(project):
    result = run_listed(project, FAILED_SEED)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=2, xfailed=1, errors=1)


def test_a_listed_test_that_passes_is_named(project):
    result = run_listed(project, FAILED_SEED, FAILED_SETUP, SOUND)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines([f'PASSED, though it is listed: {SOUND}, `pytest`, now and then'])


@pytest.mark.parametrize('unknown', ['tests/test_suite.py::test_seeds[3]', 'tests/test_suite.py', 'review/2', 'review'])
def test_an_entry_that_names_no_test_is_an_error(project, unknown):
    add_case(project, '1')
    result = run_listed(project, FAILED_SEED, FAILED_SETUP, 'review/1', unknown)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f'*names no test: {unknown.replace("[", "[[]")}'])


def test_a_listed_case_is_named(project):
    add_case(project, '1')
    result = run_listed(project, FAILED_SEED, FAILED_SETUP, 'review/1')
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(['NOT RUN HERE: review/1, `pytest`, now and then'])


def test_a_case_without_a_program_is_an_error(project):
    add_case(project, '1').unlink()
    result = run_listed(project, FAILED_SEED, FAILED_SETUP, 'review/1')
    assert result.ret == pytest.ExitCode.USAGE_ERROR


def test_entries_with_the_same_id_are_an_error(project):
    # Only the last of them was printed.
    result = run_listed(project, FAILED_SEED, FAILED_SETUP, FAILED_SEED)
    assert result.ret == pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize(
    'options', [['tests/test_suite.py'], [SOUND], ['-k', 'sound'], ['--deselect', SOUND], ['--ignore', 'tests/none']]
)
def test_partial_runs_may_leave_out_listed_tests(project, options):
    listed = [FAILED_SEED, FAILED_SETUP, SOUND]
    if options[0] not in {'-k', '--deselect'}:
        listed.append('tests/test_other.py::test_other')
    result = run_listed(project, *listed, options=options)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(['KNOWN-RED.txt: listed tests that are not part of this run: *'])


def test_without_a_list_nothing_is_reported(project):
    result = project.runpytest_inprocess(SOUND)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.no_fnmatch_line('*KNOWN-RED*')
