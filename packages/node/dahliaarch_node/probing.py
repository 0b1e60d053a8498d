"""Detects when an unresponsive store answers again."""

import anyio

from dahliaarch_platform.store import STORE_FAILURES, StoreClient

from .logs import log_event
from .records import OWNER_KEY

# Timeout of a probe, in seconds; a slow store answers in 0.25 s.
_PROBE_TIMEOUT_S = 0.5
# Pause after a failed probe, in seconds.
_PROBE_PAUSE_S = 0.2


async def probe_store(store: StoreClient) -> None:
    """Probe the store whenever it has stopped answering, until cancelled.

    Until it answers again, requests of callers are refused at once: a write that is
    never sent can't take effect later, so the refusal is certain.
    """
    while True:
        await store.suspected.wait()
        log_event('store_lost')
        while store.is_suspect:
            try:
                await store.get(OWNER_KEY, timeout_s=_PROBE_TIMEOUT_S)
            except STORE_FAILURES:
                await anyio.sleep(_PROBE_PAUSE_S)
        log_event('store_regained')
