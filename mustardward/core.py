"""Provide the core of a process: settings, timers, events and components."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Generic, TypeVar

from anyio.abc import TaskGroup

from .exceptions import MustardwardError
from .helpers.logging import get_logger
from .helpers.registry import Registry
from .helpers.timer import TimerService
from .settings.models import Settings

_LOGGER = get_logger(__name__)

T = TypeVar("T")
EventT = TypeVar("EventT")
CallableT = TypeVar("CallableT", bound=Callable[..., Any])

Unload = Callable[[], Awaitable[None]]


def callback(function: CallableT) -> CallableT:
    """Mark a function as safe to call in the event loop: it never blocks."""
    function._mustardward_callback = True  # type: ignore[attr-defined]
    return function


@dataclass(frozen=True, slots=True)
class ComponentKey(Generic[T]):
    """Typed key of a component's public object."""

    domain: str


class ComponentMissingError(MustardwardError):
    """Raised when a component is requested before it was set up."""

    code = "component-missing"


class EventBus:
    """Deliver events to the listeners of their type."""

    def __init__(self) -> None:
        self._listeners: dict[type, list[Callable[[Any], None]]] = {}

    def listen(
        self, event_type: type[EventT], listener: Callable[[EventT], None]
    ) -> Callable[[], None]:
        """Call ``listener`` for each event of a type; return the unsubscriber."""
        listeners = self._listeners.setdefault(event_type, [])
        listeners.append(listener)

        def unsubscribe() -> None:
            if listener in listeners:
                listeners.remove(listener)

        return unsubscribe

    def publish(self, event: object) -> None:
        """Call the event's listeners synchronously, in order of subscription."""
        for listener in list(self._listeners.get(type(event), ())):
            listener(event)


@dataclass(slots=True, eq=False)
class Core:
    """Root object of a process, shared by its components."""

    settings: Settings
    timers: TimerService
    tasks: TaskGroup
    events: EventBus = field(default_factory=EventBus)
    _components: dict[str, Any] = field(default_factory=dict)

    def put(self, key: ComponentKey[T], component: T) -> None:
        """Register a component's public object."""
        self._components[key.domain] = component

    def get(self, key: ComponentKey[T]) -> T:
        """Return a component's public object.

        :raises ComponentMissingError: if it was not set up.
        """
        try:
            component: T = self._components[key.domain]
        except KeyError:
            raise ComponentMissingError(key.domain) from None
        return component

    def find(self, key: ComponentKey[T]) -> T | None:
        """Return a component's public object, or None if it was not set up."""
        return self._components.get(key.domain)

    def remove(self, key: ComponentKey[T]) -> None:
        """Unregister a component's public object."""
        self._components.pop(key.domain, None)


Setup = Callable[[Core], Awaitable[Unload]]


@dataclass(frozen=True, slots=True)
class ComponentDescription:
    """Setup function and dependencies of a component.

    :param async_setup: returns the coroutine function that unloads the component.
    """

    domain: str
    async_setup: Setup
    dependencies: tuple[str, ...] = ()


COMPONENTS: Registry[str, ComponentDescription] = Registry("components")


async def async_setup_components(core: Core, domains: tuple[str, ...]) -> list[Unload]:
    """Set up components after their dependencies; return their unload functions.

    The unload function of the last component comes first.
    """
    unloads: list[Unload] = []
    done: set[str] = set()
    for domain in domains:
        await _async_setup_one(core, domain, done, unloads)
    return unloads


async def _async_setup_one(
    core: Core, domain: str, done: set[str], unloads: list[Unload]
) -> None:
    if domain in done:
        return
    done.add(domain)
    description = COMPONENTS[domain]
    for dependency in description.dependencies:
        await _async_setup_one(core, dependency, done, unloads)
    unloads.insert(0, await description.async_setup(core))
    _LOGGER.info("component_set_up", domain=domain)
