"""Serve one HTTP connection with hypercorn, and close it once the client has."""

from __future__ import annotations

import asyncio
from typing import Any

from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.typing import LifespanState


class HttpConnection(TCPServer):
    """Server side of one connection.

    :param state: lifespan state, included in the scope of each request.
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
        # hypercorn closes a connection only when its idle timer expires, even if the
        # client closed it before. Until then its socket stays in CLOSE-WAIT, one for
        # each connection of the last minutes, until no more can be opened.
        await super()._read_data()
        await self.idle_task.stop()
