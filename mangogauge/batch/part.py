"""All of a host's batch work put together."""

import curio

from ..daemon.parts import HostPart
from .batch_resource import BatchResource, JobCounter
from .collector import Collector
from .commits import ChunkStore
from .file_resource import FileResource
from .files import FileStore
from .jobs import JobStore
from .results import ResultReader
from .runner import BatchParts, BatchRunner

__all__ = ["BatchPart"]


class BatchPart(HostPart):
    """Files, jobs and the runner of one host.

    Parameters
    ----------
    host : str
        Name of the host.
    records : RecordStore
    dispatcher : Dispatcher
    router : Router
    view : MembershipView
    clock : Clock
    random : random.Random
    metrics : HostMetrics

    Attributes
    ----------
    resources : list of Resource
        The callers' paths.
    """

    def __init__(self, host, records, dispatcher, router, view, clock, random, metrics):
        files, jobs = FileStore(records, clock), JobStore(records)
        chunks = ChunkStore(records, host)
        counter = JobCounter(chunks)
        self.resources = [
            FileResource(files, ResultReader(records, jobs), counter),
            BatchResource(jobs, files, counter, clock),
        ]
        self._collector = Collector(host, records, clock, random)
        self._runner = BatchRunner(
            BatchParts(
                host=host,
                records=records,
                jobs=jobs,
                files=files,
                chunks=chunks,
                dispatcher=dispatcher,
                router=router,
                view=view,
                clock=clock,
                random=random,
                metrics=metrics,
            )
        )

    def take_fleet(self, fleet):
        """Put newer settings in force."""
        for resource in self.resources:
            resource.set_settings(fleet.batch)
        self._runner.take_fleet(fleet)
        self._collector.take_fleet(fleet)

    async def run(self):
        """Work until cancelled."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._runner.run)
            await group.spawn(self._collector.run)
        if group.exception is not None:
            raise group.exception

    def announce_drain(self):
        """Take on no new work."""
        self._runner.announce_drain()

    async def drain(self):
        """Commit what is done and give every claim back."""
        await self._runner.drain()
        await self._collector.drain()
