"""A synchronous wrapper around a deployment, for tests."""

import anyio

PARALLEL = [{'Count': 3, 'Cpu': 1000, 'MemMb': 1000, 'Gpu': 1, 'EstimateMs': 500}]
GANG = [{'Count': 2, 'Cpu': 1000, 'MemMb': 1000, 'Gpu': 8, 'EstimateMs': 500, 'Gang': True, 'SameRack': True}]


class RunningDeployment:
    """A running deployment with blocking methods, which run its coroutines through a portal."""

    def __init__(self, deployment, portal):
        self.deployment = deployment
        self.store = deployment.store
        self.workers = deployment.workers
        self.portal = portal
        self.job_ids = []
        self._tasks = None

    async def __aenter__(self):
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        await self.deployment.start(self._tasks)
        return self

    async def __aexit__(self, *exc_info):
        self.deployment.close()
        for worker in self.workers:
            worker.server.close()
        self._tasks.cancel_scope.cancel()
        return await self._tasks.__aexit__(None, None, None)

    def call(self, method, path, body=None, names=(), **options):
        async def ask():
            return await self.deployment.caller(*names).call(method, path, body, **options)

        return self.portal.call(ask)

    def submit(self, steps, payload='0.5', queue='ordinary', job_id='', names=()):
        async def submit_job():
            return await self.deployment.caller(*names).submit(queue, steps, payload, job_id)

        job_id = self.portal.call(submit_job)
        self.job_ids.append(job_id)
        return job_id

    def cancel(self, job_id, queue='ordinary'):
        """Cancel a job through an instance whose process is running."""
        name = self.deployment.running_names[0]
        assert self.call('DELETE', f'/{queue}/{job_id}', names=(name,)).status == 200

    def wait_for(self, job_id, state, queue='ordinary', timeout_s=25.0):
        async def wait():
            await self.deployment.caller().wait_for(queue, job_id, state, timeout_s)

        self.portal.call(wait)

    def state(self, job_id, queue='ordinary', names=()):
        async def ask():
            return await self.deployment.caller(*names).state(queue, job_id)

        return self.portal.call(ask)

    def owner(self):
        return self.portal.call(self.deployment.owner)

    def current_owner(self):
        return self.deployment.current_owner()

    def starts(self):
        return [start for worker in self.workers for start in worker.starts]

    def ends(self):
        return [end for worker in self.workers for end in worker.ends]

    def sleep(self, seconds):
        self.portal.call(anyio.sleep, seconds)

    def wait_until(self, condition, timeout_s=20.0):
        async def wait():
            with anyio.fail_after(timeout_s):
                while not condition():
                    await anyio.sleep(0.02)

        self.portal.call(wait)

    def tasks_run_twice(self):
        """Return the tasks of which two runs overlapped, or that ran again after a success."""
        spans = {}
        end_by_run = {(end.worker, end.task, end.run, end.incarnation): end for end in self.ends()}
        for start in self.starts():
            end = end_by_run.get((start.worker, start.task, start.run, start.incarnation))
            spans.setdefault(start.task, []).append((start.at_s, end.at_s if end else None, end.how if end else ''))
        wrong = []
        for task, runs in spans.items():
            runs.sort()
            for (_, end_s, how), (begin_s, _, _) in zip(runs, runs[1:], strict=False):
                if end_s is None or begin_s < end_s or how == 'done':
                    wrong.append(task)
        return wrong
