"""Tests of which jobs are refused for load, and that no other digest than a current one refuses any."""

import pytest

from ...configuration import Queue
from ...scheduler import Mechanism, Moment, SchedulerSettings
from ...workload import JobSpec, Resources, StepSpec
from ..bounds import Candidate
from ..digest import decode_digest, Digest, encode_digest, KnownDigest, QueueBacklog
from ..verdict import assess, Reason

EPOCH = 7
NOW = Moment(1000.0, 1_700_000_000.0)
SETTINGS = SchedulerSettings()
CAPACITY = Resources(100_000, 400_000, 10)
TASK = Resources(4_000, 16_000, 1)
URGENT = Queue('urgent', 'h', '/u/', 'svc', priority=0, stretch=1.5, target_latency_s=0.25)
ORDINARY = Queue('ordinary', 'h', '/o/', 'svc', priority=1, stretch=3.0, target_latency_s=1.0)
# Three times the largest objective of a step of 1 s on the ordinary queue, and half as much again.
LIMIT_S = 3 * (3 * 3 * 1.0 + 1.0)
USUAL_LIMIT_S = 1.5 * LIMIT_S


def backlog(pool_s, rank=0, service='svc', largest=TASK):
    """Return waiting work that takes the whole pool for a time at the least certain pace."""
    return QueueBacklog('urgent', service, rank, 2 * pool_s * 100.0, 0.0, largest, 0.0)


def digest(*backlogs, ratio_by_account=None, made_wall_s=NOW.wall_s):
    return Digest(EPOCH, made_wall_s, {'svc': CAPACITY}, backlogs, ratio_by_account or {})


def candidate(queue=ORDINARY, demand=TASK, guaranteed=0, **fields):
    step = StepSpec(2, demand, 1.0, **fields)
    return Candidate(JobSpec('a' * 16, 'acc', queue.name, '', (step,)), queue, guaranteed)


def decide(offered, found, owner_epoch=EPOCH, now=NOW, settings=SETTINGS, received_s=NOW.steady_s):
    return assess(offered, found and KnownDigest(found, received_s), owner_epoch, now, settings)


FULL = digest(backlog(10 * LIMIT_S))


def test_a_job_that_cannot_begin_in_time_is_refused():
    verdict = decide(candidate(), FULL)
    assert verdict.reason is Reason.TOO_LATE
    assert verdict.start_bound_s == pytest.approx(10 * LIMIT_S)
    assert verdict.excess_s == pytest.approx(10 * LIMIT_S - USUAL_LIMIT_S)


@pytest.mark.parametrize(
    ('arguments', 'reason'),
    [
        ({'found': None}, Reason.NO_DIGEST),
        ({'owner_epoch': None}, Reason.UNKNOWN_OWNER),
        ({'owner_epoch': EPOCH + 1}, Reason.OTHER_EPOCH),
        ({'owner_epoch': EPOCH - 1}, Reason.OTHER_EPOCH),
        ({'now': NOW._replace(steady_s=NOW.steady_s + 2.6)}, Reason.OLD_DIGEST),
        ({'now': NOW._replace(wall_s=NOW.wall_s + 2.6)}, Reason.OLD_DIGEST),
        ({'received_s': NOW.steady_s + 1.0}, Reason.OLD_DIGEST),
        ({'now': NOW._replace(wall_s=NOW.wall_s - 3600.0)}, Reason.OLD_DIGEST),
        ({'now': NOW._replace(wall_s=NOW.wall_s + 3600.0)}, Reason.OLD_DIGEST),
        ({'settings': SETTINGS._replace(without=frozenset((Mechanism.ADMISSION,)))}, Reason.DISABLED),
    ],
    ids=[
        'no digest',
        'no owner',
        'older epoch',
        'newer epoch',
        'received long ago',
        'made long ago',
        'steady clock jumped back',
        'wall clock jumped back',
        'wall clock jumped ahead',
        'switched off',
    ],
)
def test_nothing_is_refused_without_a_current_digest(arguments, reason):
    """An instance that was cut off would refuse jobs by a backlog that was served long ago."""
    assert decide(candidate(), **{'found': FULL, **arguments}).reason is reason


def test_a_digest_that_travelled_slowly_counts_as_old():
    made_before = digest(backlog(10 * LIMIT_S), made_wall_s=NOW.wall_s - 3.0)
    assert decide(candidate(), made_before).reason is Reason.OLD_DIGEST


@pytest.mark.parametrize(
    'offered',
    [
        candidate(lasting=True),
        candidate(demand=TASK._replace(cpu_millis=3_999)),
        candidate(demand=TASK._replace(accelerators=0)),
        candidate(fills=True),
        candidate(URGENT, guaranteed=2),
        candidate(ORDINARY._replace(service='other')),
    ],
    ids=['serving', 'smaller', 'no accelerator', 'fills', 'guaranteed', 'other service'],
)
def test_a_job_that_may_pass_the_backlog_is_accepted(offered):
    """A smaller task starts in capacity that a waiting one does not fit into, whatever the order."""
    assert not decide(offered, FULL).is_refused


def test_jobs_at_due_times_and_without_estimates_are_accepted():
    offered = candidate()
    later = offered.spec._replace(repeats=2, first_due_s=NOW.wall_s + 60.0)
    assert decide(offered._replace(spec=later), FULL).reason is Reason.NOT_EXPRESSIBLE
    step = offered.spec.steps[0]._replace(estimate_s=0.0)
    unknown = offered.spec._replace(steps=(step,))
    assert decide(offered._replace(spec=unknown), FULL).reason is Reason.NOT_EXPRESSIBLE


def test_work_of_the_same_rank_is_not_counted():
    assert not decide(candidate(), digest(backlog(10 * LIMIT_S, rank=2))).is_refused
    assert not decide(candidate(URGENT), digest(backlog(10 * LIMIT_S, rank=1))).is_refused
    assert decide(candidate(), digest(backlog(10 * LIMIT_S, rank=1))).is_refused
    assert decide(candidate(URGENT), FULL).is_refused


def test_accounts_far_over_their_share_are_refused_first():
    between = backlog((LIMIT_S + USUAL_LIMIT_S) / 2)
    assert not decide(candidate(), digest(between)).is_refused
    assert not decide(candidate(), digest(between, ratio_by_account={'acc': 1.0})).is_refused
    assert decide(candidate(), digest(between, ratio_by_account={'acc': 8.0})).is_refused
    in_time = backlog(LIMIT_S - 1.0)
    assert not decide(candidate(), digest(in_time, ratio_by_account={'acc': 8.0})).is_refused


def test_what_may_have_been_served_since_is_subtracted():
    now = NOW._replace(steady_s=NOW.steady_s + 2.0, wall_s=NOW.wall_s + 2.0)
    assert decide(candidate(), FULL, now=now).start_bound_s == pytest.approx(10 * LIMIT_S - 2.0)


def test_accelerators_bound_the_start_as_well():
    row = backlog(0.0)._replace(accelerator_s=2 * 10 * 400.0)
    assert decide(candidate(), digest(row)).start_bound_s == pytest.approx(400.0)


def test_an_unknown_capacity_refuses_nothing():
    """A new owner that has met few workers would take the pool for tiny."""
    for capacities in ({}, {'svc': Resources()}):
        assert not decide(candidate(), FULL._replace(capacity_by_service=capacities)).is_refused


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'\xff\x00',
        b'text',
        encode_digest(FULL)[:-1],
        encode_digest(FULL) + b'\x00',
        encode_digest(FULL._replace(made_wall_s=float('nan'))),
        encode_digest(FULL._replace(backlogs=(backlog(float('inf')),))),
        encode_digest(FULL._replace(backlogs=(backlog(-1.0),))),
        encode_digest(FULL._replace(backlogs=('row',))),
    ],
)
def test_a_malformed_digest_is_not_used(data):
    assert decode_digest(data) is None


def test_a_digest_survives_its_encoding():
    found = digest(backlog(1.0), ratio_by_account={'acc': 1.5})
    assert decode_digest(encode_digest(found)) == found
