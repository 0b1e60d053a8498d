"""Notifies tasks that wait for the end of a job."""

import anyio


class EndNotifier:
    """Events by job, each kept only while a task waits for it."""

    def __init__(self) -> None:
        """Initialize without waiting tasks."""
        self._event_by_job: dict[str, anyio.Event] = {}

    def notify(self, job_id: str) -> None:
        """Wake all tasks that wait for the end of a job."""
        event = self._event_by_job.pop(job_id, None)
        if event is not None:
            event.set()

    async def wait(self, job_id: str, wait_s: float) -> None:
        """Wait for the end of a job, at most ``wait_s`` seconds."""
        event = self._event_by_job.setdefault(job_id, anyio.Event())
        with anyio.move_on_after(wait_s) as scope:
            await event.wait()
        if scope.cancelled_caught and not event.statistics().tasks_waiting:
            self._event_by_job.pop(job_id, None)
