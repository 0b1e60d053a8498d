import pytest
from anyio.from_thread import start_blocking_portal

from ...platform import PolicyStandIn
from ..core import Deployment
from .running import Running


@pytest.fixture
def running(tmp_path):
    """A deployment of real daemons; the stand-ins run in a thread of this process."""
    with start_blocking_portal() as portal:
        deployment = portal.call(Deployment, tmp_path)
        with portal.wrap_async_context_manager(Running(deployment, portal)) as started:
            yield started


@pytest.fixture
def advised(tmp_path):
    """The same, with a policy that consents to two of the four workers."""
    with start_blocking_portal() as portal:
        deployment = portal.call(Deployment, tmp_path)
        deployment.policy = PolicyStandIn({'w0', 'w1'})
        for worker in deployment.workers:
            worker.policy = deployment.policy
        with portal.wrap_async_context_manager(Running(deployment, portal)) as started:
            yield started


@pytest.fixture
def long_leased(tmp_path):
    """The same as the first, with leases that outlast a takeover by far."""
    with start_blocking_portal() as portal:
        deployment = portal.call(Deployment, tmp_path)
        deployment.max_hold_s = 10.0
        with portal.wrap_async_context_manager(Running(deployment, portal)) as started:
            yield started
