import pytest

from dahliaarch_kernel.errors import PolicyError
from dahliaarch_kernel.policies import compile_policy, JobVariables, Policy, PolicySettings, SHIPPED_POLICIES


@pytest.mark.parametrize('name', SHIPPED_POLICIES)
def test_shipped_policies_compile_and_put_urgent_work_first(name):
    policy = compile_policy(SHIPPED_POLICIES[name])
    urgent = JobVariables(urgent=True, expected_s=1e6, slots=128.0)
    assert policy.priority(urgent) > policy.priority(JobVariables(waited_s=1e5, expected_s=1.0, slots=128.0))


@pytest.mark.parametrize(
    'program',
    ['slots +', 'nonsense', '"text"', 'urgent', '[1.0].map(x, x)[0]', 'slots' + ' + slots' * 400, 'slots * 2'],
)
def test_invalid_programs_are_rejected_when_compiled(program):
    with pytest.raises(PolicyError):
        compile_policy(PolicySettings('mine', priority=program))


def test_a_program_that_fails_falls_back_to_the_default():
    failed_programs = []
    settings = PolicySettings('mine', priority='waited_s > 1e7 ? double("x") : waited_s')
    policy = Policy(settings, lambda name, error: failed_programs.append(name))
    assert policy.priority(JobVariables(waited_s=2e7)) == 2e7
    assert failed_programs == ['priority']
