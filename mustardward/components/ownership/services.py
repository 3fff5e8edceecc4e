"""Claim the shard when nobody owns it, and own it until deposed."""

from __future__ import annotations

import math
import secrets
from functools import partial

import anyio

from ...helpers.instruments import OLDEST_WAIT_SECONDS, OWNED_EPOCH
from ...helpers.logging import get_logger
from ...platform.exceptions import (
    CallRefusedError,
    CallUnknownError,
    FencedError,
    SequenceError,
)
from ...platform.store import Producer
from ..ledger.append_watcher import async_call_or_observe
from ..ledger.const import KEY_OWNER, RETRY_DELAY_SECONDS, SHARD, TOPIC
from ..ledger.ledger import encode
from ..ledger.models import OwnerRecord
from .const import (
    HANDOVER_AFTER_SECONDS,
    HANDOVER_AGAIN_SECONDS,
    OWNER_GAP_SECONDS,
    WATCH_SECONDS,
)
from .election import Election, should_hand_over
from .models import OwnerParts
from .owner import Owner

_LOGGER = get_logger(__name__)


class Ownership:
    """Take part in the shard's ownership.

    :param share: where in the spread of claims this entry stands, from 0 to 1.
    """

    def __init__(self, parts: OwnerParts, share: float) -> None:
        self._parts = parts
        self._election = Election(parts.node, share)
        self._leaving = False
        self._gave_way_at = -math.inf
        self.owner: Owner | None = None

    async def async_run(self) -> None:
        """Watch the owner, and take its place when it is lost."""
        parts = self._parts
        await parts.follower.async_wait_loaded()
        while not self._leaving:
            now = parts.timers.monotonic()
            self._election.see(parts.ledger.owner, now)
            self._election.small = self._is_small()
            if parts.follower.failing_since is not None:
                self._election.excuse(now)
            if self._election.due(now) and await self._async_still_due():
                owner = await self._async_claim()
                if owner is not None:
                    await self._async_own(owner)
                continue
            await parts.timers.async_sleep(WATCH_SECONDS)

    async def _async_give_way(self, owner: Owner) -> None:
        """Let a much faster instance own the shard, if there is one."""
        parts = self._parts
        await parts.timers.async_sleep(HANDOVER_AFTER_SECONDS)
        now = parts.timers.monotonic()
        if not self._is_small():
            return
        if now - self._gave_way_at < HANDOVER_AGAIN_SECONDS:
            return
        self._gave_way_at = now
        _LOGGER.info("owner_gives_way", epoch=owner.epoch, speed=parts.speed)
        await owner.async_release()

    def _is_small(self) -> bool:
        parts = self._parts
        speeds = [node.speed for node in parts.ledger.nodes.values()]
        return should_hand_over(parts.speed, speeds)

    async def async_leave(self) -> None:
        """Claim nothing any more, and give up what is owned."""
        self._leaving = True
        if self.owner is not None:
            await self.owner.async_release()

    async def _async_still_due(self) -> bool:
        """Return whether the log's present end shows no renewal either."""
        parts = self._parts
        if not await parts.follower.async_catch_up():
            await parts.timers.async_sleep(RETRY_DELAY_SECONDS)
            return False
        now = parts.timers.monotonic()
        self._election.see(parts.ledger.owner, now)
        return self._election.due(now)

    async def _async_claim(self) -> Owner | None:
        """Claim the next epoch; the log's first record of it decides who has it.

        Two entries that claim the same epoch use the same producer, epoch and number,
        so the log keeps one of the two records and answers both.
        """
        parts = self._parts
        epoch = parts.ledger.owner.epoch + 1
        before = parts.ledger.owner
        claim = secrets.token_hex(8)
        record = OwnerRecord(epoch, claim, parts.node, 0, parts.timers.wall())
        if not await self._async_append(record):
            return None
        while parts.ledger.owner.epoch < epoch:
            if not await parts.follower.async_catch_up():
                await parts.timers.async_sleep(RETRY_DELAY_SECONDS)
        won = parts.ledger.owner.claim == claim
        _LOGGER.info("shard_claimed", epoch=epoch, won=won)
        return Owner(parts, epoch, claim, before) if won else None

    async def _async_append(self, record: OwnerRecord) -> bool:
        parts = self._parts
        producer = Producer(f"owner/{SHARD}", record.epoch, 0)
        while parts.ledger.owner.epoch < record.epoch:
            try:
                await async_call_or_observe(
                    parts.timers,
                    partial(
                        parts.store.async_append,
                        TOPIC,
                        [(KEY_OWNER, encode(record))],
                        producer,
                    ),
                    parts.follower.async_catch_up,
                    lambda: parts.ledger.owner.epoch >= record.epoch,
                )
                return True
            except (FencedError, SequenceError):
                await parts.follower.async_catch_up()
                return False
            except (CallRefusedError, CallUnknownError) as error:
                _LOGGER.warning("claim_unanswered", detail=error.detail)
                await parts.timers.async_sleep(RETRY_DELAY_SECONDS)
        return True

    async def _async_own(self, owner: Owner) -> None:
        self.owner = owner
        OWNED_EPOCH.set(owner.epoch)
        self._parts.follower.override_interval(OWNER_GAP_SECONDS)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._async_give_way, owner)
                await owner.async_run()
                tasks.cancel_scope.cancel()
        finally:
            self.owner = None
            OWNED_EPOCH.set(0)
            OLDEST_WAIT_SECONDS.set(0)
            self._parts.follower.override_interval(None)
