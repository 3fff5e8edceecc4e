"""Keep the story of each decision."""

from __future__ import annotations

from functools import partial

from ...core import COMPONENTS, ComponentDescription, Core, Unload


async def async_setup(core: Core) -> Unload:
    """Listen to decisions and folded records; return what undoes it."""
    from ..keys import EXPLAINER, FLEET_LOG, PEERS, WORK_LOG
    from . import api  # noqa: F401 - files the routes
    from .models import DecisionMade
    from .service import AskStory, Explainer
    from .store import StoryStore

    explainer = Explainer(core, StoryStore(core.settings.entry.name))
    undo = [core.events.listen(DecisionMade, explainer.note_decision)]
    fleet = core.find(FLEET_LOG)
    if fleet is not None:
        undo.append(fleet.listen(partial(explainer.note_outcome, "fleet")))
    work = core.find(WORK_LOG)
    if work is not None:
        undo.append(work.listen(partial(explainer.note_outcome, "work")))
    peers = core.find(PEERS)
    if peers is not None:
        undo.append(peers.handle(AskStory, explainer.async_answer))
    core.put(EXPLAINER, explainer)

    async def async_unload() -> None:
        core.remove(EXPLAINER)
        for unsubscribe in reversed(undo):
            unsubscribe()

    return async_unload


COMPONENTS.register("explain")(
    ComponentDescription("explain", async_setup, ("log", "peers", "membership"))
)
