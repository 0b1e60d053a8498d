"""In-memory worker sessions."""

import asyncio

from dahliaarch_platform.workers import WorkerUnansweredError


class InMemorySessions:
    """Mixin that gives an in-memory worker sessions, whose calls carry its incarnation and a fence."""

    def session(self, address, incarnation, fence):
        return _Session(self, address, incarnation.worker_id, fence)


class _Session:
    def __init__(self, workers, address, worker_id, fence):
        self._workers = workers
        self._address_and_id = (address, worker_id)
        self._fence = fence

    async def survey(self, *, cancellation=None, **options):
        call = asyncio.ensure_future(self._workers.survey(*self._address_and_id, fence=self._fence, **options))
        awaited = {call} if cancellation is None else {call, cancellation}
        try:
            await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
            if call.done():
                return call.result()
        finally:
            call.cancel()
        raise WorkerUnansweredError('survey cancelled')

    async def start(self, order, *, timeout_s):
        return await self._workers.start(*self._address_and_id, order, fence=self._fence, timeout_s=timeout_s)

    async def stop(self, key, run, *, timeout_s):
        return await self._workers.stop(*self._address_and_id, key, run, self._fence, timeout_s=timeout_s)

    def close(self):
        """Do nothing, since no resources are held."""
