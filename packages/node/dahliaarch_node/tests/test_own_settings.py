import pytest

from dahliaarch_kernel.errors import PolicyError, SettingsError
from dahliaarch_kernel.scheduler import Mechanism

from ..own_settings import OwnSettings, parse_own_settings


def test_an_empty_file_means_the_defaults():
    assert parse_own_settings('') == OwnSettings()


def test_given_settings_replace_the_defaults():
    found = parse_own_settings(
        '[policy]\nname = "fragmentation"\n[scheduler]\nreservations = 3\n[ownership]\nlease_s = 3'
    )
    assert found.policy.placement_score
    assert found.scheduler.reservations == 3
    assert found.ownership.lease_s == 3.0


def test_mechanisms_can_be_switched_off_by_name():
    found = parse_own_settings('[scheduler]\nwithout = ["packing", "learned_times"]\nreservations = 2')
    assert not found.scheduler.has(Mechanism.PACKING)
    assert found.scheduler.has(Mechanism.SUSPECTS_LAST)
    assert found.scheduler.reservations == 2


@pytest.mark.parametrize(
    ('text', 'key'),
    [
        ('[polic]\n', 'polic'),
        ('[policy]\nprioriti = "1.0"', 'policy.prioriti'),
        ('[policy]\npriority = 1', 'policy.priority'),
        ('[scheduler]\nreservations = "two"', 'scheduler.reservations'),
        ('[scheduler]\nreservations = -1', 'scheduler.reservations'),
        ('[scheduler]\ndrain_s = 9', 'scheduler.drain_s'),
        ('[scheduler]\nwithout = "packing"', 'scheduler.without'),
        ('[scheduler]\nwithout = ["unpacking"]', 'scheduler.without'),
        ('[ownership]\nlease_s = true', 'ownership.lease_s'),
        ('ownership = 3', 'ownership'),
        ('[workers]\nlease_s = 2', 'workers.lease_s'),
        ('[metrics]\nport = "ninety"', 'metrics.port'),
        ('[', 'file'),
    ],
)
def test_each_error_names_the_invalid_key(text, key):
    with pytest.raises(SettingsError) as raised:
        parse_own_settings(text)
    assert raised.value.location == key


def test_a_program_that_does_not_compile_is_rejected():
    with pytest.raises(PolicyError):
        parse_own_settings('[policy]\npriority = "slots +"')
