"""Define the interfaces to the platform, which tests implement by small fakes.

Every method raises :class:`PlatformUnavailableError` if the call had no effect and
:class:`PlatformOutcomeUnknownError` if it may have had one.
"""

from __future__ import annotations

from typing import Protocol

from .models import (
    InstancePower,
    ListedInstance,
    LogPage,
    TaskOrder,
    TaskReport,
    WorkerUsage,
)


class LogService(Protocol):
    """Append to and read from streams of the platform's log."""

    async def async_append(self, stream: str, payload: bytes) -> int:
        """Append one entry and return its offset.

        :raises AppendRateError: if the rate limit was exceeded; nothing was appended.
        """
        ...

    async def async_read(
        self, stream: str, offset: int, limit: int, wait_seconds: float
    ) -> LogPage:
        """Return entries from ``offset`` on; at the tail, wait for the next one.

        :raises OffsetExpiredError: if ``offset`` is older than the retention.
        """
        ...


class ListingService(Protocol):
    """Read the platform's list of live and leaving instances; it lags."""

    async def async_list(self, data_centre: str = "") -> tuple[ListedInstance, ...]:
        """Return the list of instances.

        :param data_centre: filter; the result may hold instances of other data centres
            too, and a platform without filtering returns all.
        """
        ...


class PowerService(Protocol):
    """Drain, reboot and return instances; idempotent by ``operation_id``.

    :raises StaleGenerationError: if the generation is older than one received before.
    """

    async def async_get(self, instance_id: str) -> InstancePower:
        """Return the state of one instance."""
        ...

    async def async_drain(
        self, instance_id: str, operation_id: str, generation: int
    ) -> InstancePower:
        """Stop the platform from giving the instance new tasks."""
        ...

    async def async_reboot(
        self, instance_id: str, operation_id: str, generation: int
    ) -> InstancePower:
        """Reboot the instance, which has to be drained."""
        ...

    async def async_return(
        self, instance_id: str, operation_id: str, generation: int
    ) -> InstancePower:
        """Return the instance to service without a reboot."""
        ...


class WorkerService(Protocol):
    """Run leased tasks on workers.

    :raises PlatformRefusedError: if the worker reports that it did not run the task.
    """

    async def async_start(self, address: str, order: TaskOrder) -> TaskReport:
        """Start a task, or return its report if the generation was started before."""
        ...

    async def async_report(self, address: str, task_id: str) -> TaskReport:
        """Return the state of a task."""
        ...

    async def async_renew(
        self, address: str, task_id: str, generation: int, lease_seconds: float
    ) -> TaskReport:
        """Extend the lease of a task."""
        ...

    async def async_checkpoint(
        self, address: str, task_id: str, generation: int
    ) -> TaskReport:
        """Write a checkpoint and stop the task."""
        ...

    async def async_throttle(
        self, address: str, task_id: str, generation: int
    ) -> TaskReport:
        """Reduce the speed of a task and free its slot."""
        ...

    async def async_stop(
        self, address: str, task_id: str, generation: int
    ) -> TaskReport:
        """Stop a task without a checkpoint."""
        ...

    async def async_usage(self, address: str) -> WorkerUsage:
        """Return the worker's delayed usage report."""
        ...
