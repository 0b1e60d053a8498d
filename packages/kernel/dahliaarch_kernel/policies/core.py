"""Compilation, validation and safe evaluation of policy programs."""

import importlib
import math
from collections.abc import Callable
from typing import Any, NamedTuple

from ..errors import PolicyError
from .settings import PolicySettings
from .variables import CandidateVariables, JobVariables, VictimVariables

_MAX_PROGRAM_LENGTH = 2000
_MACROS = ('.map(', '.filter(', '.all(', '.exists(', '.exists_one(')

Variables = JobVariables | CandidateVariables | VictimVariables
OnFailure = Callable[[str, Exception], None]


class _Samples(NamedTuple):
    """Sample variables on which a program is evaluated before it is accepted."""

    typical: Variables
    extreme: Variables


_JOB_SAMPLES = _Samples(JobVariables(), JobVariables(True, True, 1e6, 1e-3, -1e6, 128.0, 128.0, True))
_CANDIDATE_SAMPLES = _Samples(CandidateVariables(), CandidateVariables(0.0, 1.0, 8.0, 0.0, True))
_VICTIM_SAMPLES = _Samples(VictimVariables(), VictimVariables(0.0, 0.0, 128.0, True, 128.0))


class Policy:
    """Compiled programs of a policy, with built-in defaults.

    If a program fails at run time, the built-in default makes that decision
    instead and the failure is reported.

    Parameters
    ----------
    settings : PolicySettings
        Name and programs of the policy.
    on_failure : callable
        Called with the name of the failed program and the exception.
    """

    def __init__(self, settings: PolicySettings, on_failure: OnFailure) -> None:
        """Compile every program.

        Raises
        ------
        PolicyError
            If a program does not compile, fails on a sample or returns the wrong type.
        """
        self.settings = settings
        self._on_failure = on_failure
        self._priority = _compile(settings.priority, 'priority', _JOB_SAMPLES, float)
        self._filter = _compile(settings.placement_filter, 'placement_filter', _CANDIDATE_SAMPLES, bool)
        self._score = _compile(settings.placement_score, 'placement_score', _CANDIDATE_SAMPLES, float)
        self._reclaim = _compile(settings.reclaim, 'reclaim', _VICTIM_SAMPLES, float)

    @property
    def has_priority(self) -> bool:
        """Whether a program determines the priority of jobs."""
        return self._priority is not None

    @property
    def has_placement(self) -> bool:
        """Whether a program filters or scores workers."""
        return self._filter is not None or self._score is not None

    @property
    def has_reclaim(self) -> bool:
        """Whether a program determines the cost of preemption."""
        return self._reclaim is not None

    def priority(self, job: JobVariables) -> float:
        """Return the priority of a job; a higher one is scheduled first."""
        if self._priority is None:
            return _default_priority(job)
        return self._evaluate_number('priority', self._priority, job, _default_priority)

    def admits(self, candidate: CandidateVariables) -> bool:
        """Return whether a worker passes the placement filter."""
        if self._filter is None:
            return True
        try:
            return bool(self._filter.execute(candidate._asdict()))
        except (RuntimeError, ValueError, TypeError) as error:
            self._on_failure('placement_filter', error)
            return True

    def score(self, candidate: CandidateVariables) -> float:
        """Return the score of a worker; lower is better."""
        if self._score is None:
            return _default_score(candidate)
        return self._evaluate_number('placement_score', self._score, candidate, _default_score)

    def reclaim_cost(self, victim: VictimVariables) -> float:
        """Return the cost of preempting a run; the cheapest are preempted first."""
        if self._reclaim is None:
            return _default_reclaim_cost(victim)
        return self._evaluate_number('reclaim', self._reclaim, victim, _default_reclaim_cost)

    def _evaluate_number(self, name: str, program: Any, variables: Any, fallback: Callable[[Any], float]) -> float:
        try:
            result = float(program.execute(variables._asdict()))
        except (RuntimeError, ValueError, TypeError) as error:
            self._on_failure(name, error)
            return fallback(variables)
        if math.isnan(result):
            self._on_failure(name, ValueError('the result is NaN'))
            return fallback(variables)
        return result


def compile_policy(settings: PolicySettings) -> Policy:
    """Compile a policy whose run-time failures are not reported.

    Raises
    ------
    PolicyError
        If a program does not compile, fails on a sample or returns the wrong type.
    """
    return Policy(settings, lambda name, error: None)


# The interpreter is large and most instances never own the pool, so it is imported
# only when the first program is compiled.
def _compile(text: str, name: str, samples: _Samples, result_type: type) -> Any:
    if not text:
        return None
    if len(text) > _MAX_PROGRAM_LENGTH:
        raise PolicyError(f'{name}: program is longer than {_MAX_PROGRAM_LENGTH} characters')
    if any(macro in text for macro in _MACROS):
        raise PolicyError(f'{name}: list macros are not allowed, because they make the evaluation cost unbounded')
    try:
        program = importlib.import_module('cel').compile(text)
    except ValueError as error:
        raise PolicyError(f'{name}: {error}') from error
    for sample in samples:
        _check_sample(program, name, sample, result_type)
    return program


def _check_sample(program: Any, name: str, sample: Variables, result_type: type) -> None:
    try:
        result = program.execute(sample._asdict())
    except (RuntimeError, ValueError, TypeError) as error:
        variable_names = ', '.join(sample._fields)
        raise PolicyError(f'{name}: {error} (variables: {variable_names})') from error
    if result_type is bool and not isinstance(result, bool):
        raise PolicyError(f'{name}: returns {type(result).__name__}, expected a boolean')
    if result_type is float and (isinstance(result, bool) or not isinstance(result, int | float)):
        raise PolicyError(f'{name}: returns {type(result).__name__}, expected a number')


def _default_priority(job: JobVariables) -> float:
    return (_URGENT_BONUS if job.urgent else 0.0) + job.waited_s * _PRIORITY_PER_WAITED_S


def _default_score(candidate: CandidateVariables) -> float:
    return candidate.free + candidate.memory_free + (_SUSPECT_PENALTY if candidate.suspect else 0.0)


def _default_reclaim_cost(victim: VictimVariables) -> float:
    lost_s = 0.0 if victim.checkpointable else victim.ran_s
    return victim.slots * victim.members * (_RESTART_COST_S + lost_s)


# Added to the priority of urgent jobs; exceeds any priority that other jobs reach.
_URGENT_BONUS = 1e9
# Added to the default priority for each second of waiting.
_PRIORITY_PER_WAITED_S = 1.0
# Added to the score of suspect workers; exceeds any score that free accelerators yield.
_SUSPECT_PENALTY = 1000.0
# Cost of restarting a preempted run, in seconds of its work.
_RESTART_COST_S = 0.5
