import pytest
from anyio.from_thread import start_blocking_portal

from ...platform import PolicyStandIn
from ..core import Deployment
from .running import RunningDeployment


@pytest.fixture
def running(tmp_path):
    """Start a deployment of real daemons, with the stand-ins in a thread of the test process."""
    with start_blocking_portal() as portal:
        deployment = portal.call(Deployment, tmp_path)
        with portal.wrap_async_context_manager(RunningDeployment(deployment, portal)) as started:
            yield started


@pytest.fixture
def limited_by_policy(tmp_path):
    """Start a deployment whose policy consents to two of the four workers."""
    with start_blocking_portal() as portal:
        deployment = portal.call(Deployment, tmp_path)
        deployment.policy = PolicyStandIn({'w0', 'w1'})
        for worker in deployment.workers:
            worker.policy = deployment.policy
        with portal.wrap_async_context_manager(RunningDeployment(deployment, portal)) as started:
            yield started


@pytest.fixture
def with_long_leases(tmp_path):
    """Start a deployment whose workers allow leases much longer than a takeover takes."""
    with start_blocking_portal() as portal:
        deployment = portal.call(Deployment, tmp_path)
        deployment.max_hold_s = 10.0
        deployment.own_settings = '[workers]\nlease_s = 10.0\n'
        with portal.wrap_async_context_manager(RunningDeployment(deployment, portal)) as started:
            yield started
