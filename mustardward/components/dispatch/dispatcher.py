"""Keep a session with each worker, and begin anew with those that start again."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from anyio.abc import TaskGroup

from ...helpers.timer import TimerService
from ...platform.advice import AdviceClient
from ...platform.exceptions import FencedError
from ...platform.http import HttpCaller
from ...platform.models import WorkerEntry
from ...platform.workers import WorkerClient
from ..scheduling.incarnations import is_other_incarnation
from ..scheduling.losses import LossCause
from ..scheduling.scheduler import Scheduler
from .closed import ClosedWorkers
from .const import LEASE_SECONDS, lease_bound
from .contacts import Contacts
from .lease import Lease
from .orders import Orders
from .session import WorkerSession


@dataclass(slots=True, eq=False)
class Dispatcher:
    """Hold the sessions with workers under one epoch, and the orders given in them.

    :param token: the fencing token, the owner's epoch.
    :param on_fenced: called when a worker has seen a newer owner.
    :param on_report: called when there may be something to plan or to store.
    :param confirmed_seconds: age of the newest renewal of the ownership that is stored.
    :param longest_lease_seconds: the longest lease that workers take, whatever the
        deadline that they are told.
    """

    http: HttpCaller
    scheduler: Scheduler
    timers: TimerService
    tasks: TaskGroup
    token: int
    on_fenced: Callable[[], None]
    on_report: Callable[[], None]
    authorised: Callable[[], bool]
    advice: AdviceClient | None = None
    longest_lease_seconds: float = LEASE_SECONDS
    confirmed_seconds: Callable[[], float] = lambda: 0.0
    orders: Orders = field(init=False)
    sessions: dict[str, WorkerSession] = field(default_factory=dict)
    accounted: set[str] = field(default_factory=set)
    _entries: dict[str, WorkerEntry] = field(default_factory=dict)
    _closed: ClosedWorkers = field(default_factory=ClosedWorkers)
    _contacts: Contacts = field(default_factory=Contacts)

    def __post_init__(self) -> None:
        """Make what carries out orders."""
        self.orders = Orders(
            self.scheduler,
            self.timers,
            self.tasks,
            self.sessions,
            self.on_fenced,
            self.on_report,
            self.authorised,
            self.remove_worker,
            self.advice,
        )

    def update_worker(self, worker_id: str, entry: WorkerEntry) -> None:
        """Open a session with a worker that is not known yet, or started again."""
        now = self.timers.monotonic()
        self._entries[worker_id] = entry
        if self._closed.holds(worker_id, entry.born, now):
            return
        session = self.sessions.get(worker_id)
        if session is not None and not session.gone:
            if session.born and entry.born > session.born:
                self._replace(session, entry.born)
            elif is_other_incarnation(entry.born, session.born):
                # Read late, or its time of day went back: the worker itself knows.
                session.ask()
            self.scheduler.update_worker(worker_id, entry, now)
            return
        self.scheduler.update_worker(worker_id, entry, now)
        # The owner before may have renewed its lease until the end of its own
        # authority.
        lease_until = max(lease_bound(now), self.scheduler.state.takeover_hold_until)
        self._open(worker_id, entry, entry.born, lease_until)

    def _open(
        self, worker_id: str, entry: WorkerEntry, born: int, lease_until: float
    ) -> None:
        session = WorkerSession(
            worker_id,
            WorkerClient(self.http, entry.address, worker_id, self.token),
            self.scheduler,
            self.timers,
            self.on_report,
            self.authorised,
            Lease(lease_until),
            born,
            lambda other: self._reborn(session, other),
            self._contacts,
            lambda: self.timers.monotonic() - self.confirmed_seconds(),
        )
        self.sessions[worker_id] = session
        self.tasks.start_soon(self._async_run_session, session)

    def _reborn(self, session: WorkerSession, born: int) -> None:
        """Take in that another incarnation answered in a session's place."""
        if session.gone or self.sessions.get(session.worker_id) is not session:
            return
        self._replace(session, born)
        self.on_report()

    def _replace(self, session: WorkerSession, born: int) -> None:
        """Go on with a worker that started again under its id.

        Symptom without it: work that was done is lost, or done again. Sequence: its
        ends count from 1 anew, and the next acknowledgement, of 58 ends from before,
        makes it forget ends that nobody has read. So whatever was counted or reckoned
        for one incarnation ends with its session.
        """
        worker_id = session.worker_id
        now = self.timers.monotonic()
        session.gone = True
        session.wake()
        self.accounted.discard(worker_id)
        entry = self._entries[worker_id]
        self.scheduler.replace_worker(worker_id, born, entry, now)
        # An order that is still on its way carries a deadline of the clock before.
        self._open(worker_id, entry, born, lease_bound(now, self.longest_lease_seconds))

    def any_silent(self) -> bool:
        """Return whether a worker stopped answering."""
        return any(
            session.silent_since is not None and not session.gone
            for session in self.sessions.values()
        )

    def unheard(self) -> list[str]:
        """Return the workers that have not told what they run."""
        return [
            worker_id
            for worker_id, session in self.sessions.items()
            if not (session.answered or session.gone or worker_id in self.accounted)
        ]

    async def _async_run_session(self, session: WorkerSession) -> None:
        try:
            await session.async_run()
        except FencedError:
            self.on_fenced()
        finally:
            session.gone = True

    def remove_worker(self, worker_id: str, cause: LossCause) -> None:
        """Take in that a worker's incarnation is surely gone."""
        self.accounted.add(worker_id)
        # Its entry stays in the store for some seconds.
        now = self.timers.monotonic()
        session = self.sessions.get(worker_id)
        born = session.born if session is not None else 0
        self._closed.close(worker_id, born, now)
        if session is not None:
            session.gone = True
            session.wake()
        self.scheduler.remove_worker(worker_id, cause, now)
