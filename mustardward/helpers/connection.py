"""Serve one HTTP connection with hypercorn, and end it when its other side has."""

from __future__ import annotations

import asyncio
from typing import Any

from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.typing import LifespanState


class HttpConnection(TCPServer):
    """Serve the requests of one connection.

    :param state: what the requests' scopes carry along.
    """

    def __init__(
        self,
        app: Any,
        config: Config,
        context: WorkerContext,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        state: dict[str, Any] | None = None,
    ) -> None:
        super().__init__(
            ASGIWrapper(app),
            asyncio.get_running_loop(),
            config,
            context,
            LifespanState(state or {}),
            reader,
            writer,
        )

    async def _read_data(self) -> None:
        # hypercorn ends a connection only once its idle timer has run out, also when
        # the other side closed it long ago. It shows as sockets in CLOSE-WAIT, one
        # for each connection of the last minutes, until none can be opened any more.
        await super()._read_data()
        await self.idle_task.stop()
