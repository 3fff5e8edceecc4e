"""Build an entry node's front end on a store that the test controls."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from mustardward.components.configuration.services import Configuration
from mustardward.components.front.models import Reply, Request
from mustardward.components.front.services import FrontService
from mustardward.components.ledger.appender import GroupAppender
from mustardward.components.ledger.const import TOPIC
from mustardward.components.ledger.follower import TopicFollower
from mustardward.components.ledger.ledger import Ledger
from mustardward.helpers.timer import DrivenTimerService
from mustardward.platform.store import TOPIC_OPERATOR
from mustardward.standin.estate.store import MemoryStore
from tests.components.ledger.builders import async_appending

JOB = "0123456789abcdef"
PREFIX = "/q/"
HOST = "a.example"
BODY = msgspec.json.encode({"spec": "x", "steps": [{"count": 2, "cpu": 100}]})


def encode_config(
    version: int = 1,
    prefixes: tuple[str, ...] = (PREFIX,),
    organisations: dict[str, list[str]] | None = None,
    public: tuple[str, ...] = (),
) -> bytes:
    """Return the operator's configuration record.

    :param organisations: API keys by organisation; None for a deployment without any.
    :param public: path prefixes of queues that need no key.
    """
    routes = [
        {
            "name": "r",
            "host": HOST,
            "path-prefix": prefix,
            "service": "s",
            "public": prefix in public,
        }
        for prefix in prefixes
    ]
    body: dict[str, object] = {
        "version": version,
        "routes": routes,
        "services": [],
        "limits": {},
    }
    if organisations is not None:
        body["tenants"] = [
            {"name": name, "api-keys": keys, "weight": 5}
            for name, keys in organisations.items()
        ]
    return msgspec.json.encode(body)


class FrontHarness:
    """An entry node's front end on a store that the test controls."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.timers = DrivenTimerService()
        self.ledger = Ledger()
        self.configuration = Configuration()
        self.follower = self._follow(TOPIC, self.ledger)
        self.config_follower = self._follow(TOPIC_OPERATOR, self.configuration)
        self.appender = GroupAppender(
            lambda records, producer: self.store.async_append(TOPIC, records, producer),
            self.timers,
            "node/1",
            epoch=1,
        )
        self.front = FrontService(
            self.timers,
            self.configuration,
            self.config_follower,
            self.ledger,
            self.follower,
            self.appender,
        )

    async def async_request(
        self, method: str, path: str, body: bytes = b"", key: str = ""
    ) -> Reply:
        """Return the reply to a request with a deadline of 0.5 s."""
        deadline = self.timers.monotonic() + 0.5
        return await self.front.async_answer(
            Request(method, HOST, path, body, deadline, key)
        )

    async def async_publish(self, record: bytes) -> None:
        """Publish a configuration record and let the node read it."""
        self.store.append(TOPIC_OPERATOR, [("config", record)])
        self.timers.pause(0.01)
        assert await self.config_follower.async_catch_up()
        assert await self.follower.async_catch_up()

    async def async_configure(self, version: int = 1, *prefixes: str) -> None:
        """Publish a configuration with these path prefixes and let the node read it."""
        await self.async_publish(encode_config(version, prefixes or (PREFIX,)))

    def _follow(self, topic: str, state: Ledger | Configuration) -> TopicFollower:
        return TopicFollower(
            self.store,  # type: ignore[arg-type]
            self.timers,
            topic,
            state.apply,
            state.keys,
            interval_seconds=0.1,
        )


@asynccontextmanager
async def running_front() -> AsyncIterator[FrontHarness]:
    """Yield a front end that has read a configuration and can append."""
    harness = FrontHarness()
    await harness.async_configure()
    async with async_appending(harness.appender):
        yield harness
