"""Finds out when a store that did not answer is back."""

import anyio

from dahliaarch_platform.store import STORE_FAILURES, StoreClient

from .logs import log_event
from .records import OWNER_KEY

# Longest wait for a probe's answer, in seconds: a slow store takes 0.25.
_PROBE_TIMEOUT_S = 0.5
# Pause between two probes, in seconds.
_PROBE_PAUSE_S = 0.2


async def probe_store(store: StoreClient) -> None:
    """Ask a store that did not answer until it does, until cancelled.

    Callers are refused at once meanwhile: a write that is not sent can't be
    carried out late, so that the refusal is true.
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
