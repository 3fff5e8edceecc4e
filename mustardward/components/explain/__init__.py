"""Keep the history of each decision."""

from __future__ import annotations

from functools import partial

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Subscribe to decisions and applied records; return the unload function."""
    from ..keys import EXPLAINER, FLEET_LOG, PEERS, WORK_LOG
    from . import api  # noqa: F401 - registers the routes
    from .models import DecisionMade
    from .service import Explainer, HistoryRequest
    from .store import HistoryStore

    explainer = Explainer(core, HistoryStore(core.settings.entry.name))
    undo = [core.events.listen(DecisionMade, explainer.record_decision)]
    fleet = core.find(FLEET_LOG)
    if fleet is not None:
        undo.append(fleet.listen(partial(explainer.record_outcome, "fleet")))
    work = core.find(WORK_LOG)
    if work is not None:
        undo.append(work.listen(partial(explainer.record_outcome, "work")))
    peers = core.find(PEERS)
    if peers is not None:
        undo.append(peers.handle(HistoryRequest, explainer.async_handle_request))
    core.put(EXPLAINER, explainer)

    async def async_unload() -> None:
        core.remove(EXPLAINER)
        for unsubscribe in reversed(undo):
            unsubscribe()

    return async_unload


COMPONENTS.register("explain")(
    ComponentDescription("explain", async_setup, ("log", "peers", "membership"))
)
