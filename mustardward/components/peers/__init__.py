"""Exchange messages and forwarded requests with other entries."""

from __future__ import annotations

from ...core import COMPONENTS, ComponentDescription, Core, Unload
from ..keys import DIRECTORY, ENTRY, MEMBERSHIP, PEERS
from .const import IDLE_CHECK_INTERVAL_SECONDS


async def async_setup(core: Core) -> Unload:
    """Set the component up and return its unload callback."""
    from ..membership.models import FINAL_STATUSES
    from .grpc_peers import GrpcPeers
    from .receiver import ForwardReceiver
    from .tls import create_client_context, create_server_context

    settings = core.settings
    tls = settings.peer_tls

    def is_leaving() -> bool:
        membership = core.find(MEMBERSHIP)
        return membership is not None and membership.own.status in FINAL_STATUSES

    receiver = ForwardReceiver(
        lambda: core.find(ENTRY),
        lambda: core.find(DIRECTORY),
        is_leaving,
        core.timers.monotonic,
        settings.limits.maximum_deadline_seconds,
    )
    peers = GrpcPeers(
        settings.entry.name,
        receiver,
        core.timers.monotonic,
        create_client_context(tls) if tls else None,
    )
    listen = settings.peer_listen
    await peers.async_start(
        listen.host, listen.port, create_server_context(tls) if tls else None
    )
    stop_idle_check = core.timers.subscribe(
        "peers.idle", IDLE_CHECK_INTERVAL_SECONDS, peers.async_close_idle
    )
    core.put(PEERS, peers)

    async def async_unload() -> None:
        core.remove(PEERS)
        stop_idle_check()
        await peers.async_stop()

    return async_unload


COMPONENTS.register("peers")(ComponentDescription("peers", async_setup))
