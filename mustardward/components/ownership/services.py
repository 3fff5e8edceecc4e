"""Claim the shard when it has no owner, and own it until deposed."""

from __future__ import annotations

import math
import secrets
from functools import partial

import anyio

from ...helpers.instruments import OLDEST_WAIT_SECONDS, OWNED_EPOCH
from ...helpers.logging import get_logger
from ...helpers.rendezvous import rendezvous_order
from ...platform.exceptions import (
    CallRefusedError,
    CallUnknownError,
    FencedError,
    SequenceError,
)
from ...platform.store import Producer
from ..dispatch.const import TOKENS_PER_EPOCH
from ..forwarding.const import CHECK_METHOD
from ..forwarding.models import PeerRequest
from ..ledger.append_watcher import async_call_or_observe
from ..ledger.const import KEY_OWNER, RETRY_DELAY_SECONDS, SHARD, TOPIC
from ..ledger.ledger import encode
from ..ledger.models import OwnerRecord
from .authority import Authority
from .claim_ranking import claim_rank, rank_delay_seconds
from .const import (
    HANDOVER_DELAY_SECONDS,
    HANDOVER_INTERVAL_SECONDS,
    MAX_CLAIMED_EPOCH,
    MAX_FAST_RANKS,
    MAX_RANK_DELAY_SECONDS,
    OWNER_CHECK_SECONDS,
    OWNER_POLL_SECONDS,
    OWNER_QUERY_TIMEOUT_SECONDS,
)
from .election import Election, should_hand_over
from .models import OwnerDependencies
from .owner import Owner
from .owner_check import async_tick
from .owner_query import OwnerQuery, OwnerStatus

_LOGGER = get_logger(__name__)


class Ownership:
    """Take part in the election of the shard's owner.

    :param jitter_position: this entry's fraction of the claim jitter, from 0 to 1.
    """

    def __init__(self, dependencies: OwnerDependencies, jitter_position: float) -> None:
        self._dependencies = dependencies
        self._election = Election(dependencies.node, jitter_position)
        self._resigning = False
        self._handed_over_at = -math.inf
        self._min_epoch = 0
        self._claim: tuple[int, Authority] | None = None
        self.owner: Owner | None = None
        self.query = OwnerQuery(dependencies.node, self._status, dependencies.peers)

    def _status(self) -> OwnerStatus:
        """Return what an entry is told that asks about this entry's ownership.

        Others may read a claim earlier than the entry that made it, and must not take
        that for lost while it does not know yet that it has won.
        """
        if self.owner is not None:
            return self.owner.status()
        if self._claim is None:
            return OwnerStatus()
        epoch, authority = self._claim
        age_seconds = authority.renewal_age_seconds()
        return OwnerStatus(epoch, authority.is_valid(), age_seconds, starting=True)

    async def async_run(self) -> None:
        """Monitor the owner and claim the shard when the owner is lost."""
        dependencies = self._dependencies
        await dependencies.follower.async_wait_loaded()
        while not self._resigning:
            now = dependencies.timers.monotonic()
            self._election.observe(dependencies.ledger.owner, now)
            self._election.is_slow = self._is_slow()
            self._rank_claims(now)
            if dependencies.follower.failing_since is not None:
                self._election.restart_timeout(now)
            if self._election.should_query(now):
                await self._async_query_owner()
            elif (
                self._election.should_claim(now)
                and await self._async_should_still_claim()
            ):
                self._election.record_claim()
                owner = await self._async_claim()
                if owner is not None:
                    await self._async_run_owner(owner)
                self._claim = None
                continue
            await dependencies.timers.async_sleep(OWNER_CHECK_SECONDS)

    def _rank_claims(self, now: float) -> None:
        """Rank this entry among those that may claim while the store is slow."""
        dependencies = self._dependencies
        ledger = dependencies.ledger
        delay = rank_delay_seconds(dependencies.latency, now, len(ledger.nodes))
        if delay:
            rank = claim_rank(dependencies.node, ledger.owner, ledger.nodes)
            self._election.rank = rank
            self._election.record_rank_delay(delay)

    async def _async_hand_over(self, owner: Owner) -> None:
        """Release the shard once a much faster instance can take it over."""
        dependencies = self._dependencies
        await dependencies.timers.async_sleep(HANDOVER_DELAY_SECONDS)
        now = dependencies.timers.monotonic()
        if not self._is_slow():
            return
        if now - self._handed_over_at < HANDOVER_INTERVAL_SECONDS:
            return
        while not await self._async_reaches_faster():
            await dependencies.timers.async_sleep(HANDOVER_DELAY_SECONDS)
        self._handed_over_at = dependencies.timers.monotonic()
        _LOGGER.info("owner_handover", epoch=owner.epoch, speed=dependencies.speed)
        await owner.async_release()

    async def _async_reaches_faster(self) -> bool:
        """Return whether a much faster instance answers that it can reach the log.

        All that are known may be cut off. The shard would then have no owner until this
        entry claims it again.
        """
        dependencies = self._dependencies
        if dependencies.peers is None:
            return True
        faster = [
            name
            for name, node in dependencies.ledger.nodes.items()
            if should_hand_over(dependencies.speed, [node.speed])
        ]
        # Others are asked each time, in case that the first ones are down.
        key = str(dependencies.timers.monotonic())
        request = PeerRequest(CHECK_METHOD, "", "", b"", OWNER_QUERY_TIMEOUT_SECONDS)
        for name in rendezvous_order(key, faster)[:MAX_FAST_RANKS]:
            reply = await dependencies.peers.async_send_to_node(name, request)
            if reply is not None and reply.status == 200:
                return True
        return False

    def _is_slow(self) -> bool:
        dependencies = self._dependencies
        speeds = [node.speed for node in dependencies.ledger.nodes.values()]
        return should_hand_over(dependencies.speed, speeds)

    async def async_resign(self) -> None:
        """Stop claiming and release the shard if it is owned."""
        self._resigning = True
        if self.owner is not None:
            await self.owner.async_release()

    async def _async_query_owner(self) -> None:
        """Defer the claim if the owner answers that it has its authority."""
        dependencies = self._dependencies
        sent_at = dependencies.timers.monotonic()
        owner = dependencies.ledger.owner
        status = await self.query.async_ask(owner.node)
        if status is None or status.epoch != owner.epoch or not status.valid:
            self._election.record_owner_unconfirmed(sent_at)
            return
        if self._election.defer(sent_at, status.age_seconds):
            _LOGGER.info(
                "claim_deferred",
                epoch=owner.epoch,
                owner=owner.node,
                age=status.age_seconds,
                reason="owner-starting" if status.starting else "owner-valid",
            )

    async def _async_should_still_claim(self) -> bool:
        """Return whether to claim even after reading the current end of the log."""
        dependencies = self._dependencies
        if not await dependencies.follower.async_catch_up():
            await dependencies.timers.async_sleep(RETRY_DELAY_SECONDS)
            return False
        now = dependencies.timers.monotonic()
        self._election.observe(dependencies.ledger.owner, now)
        return not self._resigning and self._election.should_claim(now)

    async def _async_claim(self) -> Owner | None:
        """Claim the next epoch; the first record of it in the log wins.

        Two entries that claim the same epoch use the same producer, epoch and sequence
        number, so that the log keeps one of the two records and confirms both.
        """
        dependencies = self._dependencies
        timers = dependencies.timers
        newest = dependencies.ledger.owner.epoch
        epoch = max(newest + TOKENS_PER_EPOCH if newest else 1, self._min_epoch)
        claim = secrets.token_hex(8)
        authority = Authority(timers.boottime, timers.boottime())
        record = OwnerRecord(epoch, claim, dependencies.node, 0, timers.wall())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(async_tick, authority, epoch, timers)
            self._claim = epoch, authority
            won = await self._async_win(record)
            tasks.cancel_scope.cancel()
        if not won:
            return None
        # The previous owner may have stored records while the claim was outstanding.
        previous = dependencies.ledger.previous_owner
        previous_read_at = (
            self._election.renewal_read_at
            if previous == self._election.last_owner
            else timers.monotonic()
        )
        return Owner(dependencies, epoch, claim, previous, authority, previous_read_at)

    async def _async_win(self, record: OwnerRecord) -> bool:
        """Append a claim and read the log; return whether it won."""
        dependencies = self._dependencies
        if not await self._async_append(record):
            return False
        # The claim may be known from a load, whose pages are of different times. All
        # records before the claim are known once a later read has reached the end.
        while not await dependencies.follower.async_catch_up():
            await dependencies.timers.async_sleep(RETRY_DELAY_SECONDS)
        if dependencies.ledger.owner.epoch < record.epoch:
            # The store has repeated the response to a claim of the same epoch, whose
            # record is lost.
            await self._async_skip_epoch(record.epoch)
            return False
        won = dependencies.ledger.owner.claim == record.claim
        _LOGGER.info("shard_claimed", epoch=record.epoch, won=won)
        return won

    async def _async_append(self, record: OwnerRecord) -> bool:
        """Append a claim; return False if it is not stored or has certainly lost.

        A refused claim is given up, and decided again from what is read by then. One
        that may be stored, now or late, is repeated until that is known: it may win.
        """
        dependencies = self._dependencies
        timers = dependencies.timers
        may_be_stored = False
        producer = Producer(f"owner/{SHARD}", record.epoch, 0)
        while dependencies.ledger.owner.epoch < record.epoch:
            try:
                await async_call_or_observe(
                    dependencies.timers,
                    partial(
                        dependencies.store.async_append,
                        TOPIC,
                        [(KEY_OWNER, encode(record))],
                        producer,
                    ),
                    dependencies.follower.async_catch_up,
                    lambda: dependencies.ledger.owner.epoch >= record.epoch,
                )
                return True
            except (FencedError, SequenceError):
                is_read = await dependencies.follower.async_catch_up()
                if is_read and dependencies.ledger.owner.epoch < record.epoch:
                    await self._async_skip_epoch(record.epoch)
                return False
            except (CallRefusedError, CallUnknownError) as error:
                _LOGGER.warning("claim_unanswered", detail=error.detail)
                may_be_stored |= isinstance(error, CallUnknownError)
                # Repeated claims would fill the partition of a slow store.
                latency_seconds = dependencies.latency.seconds(timers.monotonic())
                delay = min(MAX_RANK_DELAY_SECONDS, latency_seconds)
                await timers.async_sleep(max(RETRY_DELAY_SECONDS, delay))
                if not may_be_stored:
                    return False
        return True

    async def _async_skip_epoch(self, epoch: int) -> None:
        """Claim a higher epoch next, since one was fenced by a claim that nobody knows.

        The newest owner's record may have been replaced by another writer. Nobody that
        has started since knows its epoch, and only the store still fences lower ones.
        """
        self._min_epoch = min(2 * epoch, MAX_CLAIMED_EPOCH)
        _LOGGER.warning("epoch_unknown", fenced=epoch, next=self._min_epoch)
        await self._dependencies.timers.async_sleep(RETRY_DELAY_SECONDS)

    async def _async_run_owner(self, owner: Owner) -> None:
        self.owner = owner
        OWNED_EPOCH.set(owner.epoch)
        self._dependencies.follower.override_interval(OWNER_POLL_SECONDS)
        try:
            async with anyio.create_task_group() as tasks:
                if self._resigning:
                    # The entry resigned while its claim was outstanding.
                    tasks.start_soon(owner.async_release)
                else:
                    tasks.start_soon(self._async_hand_over, owner)
                await owner.async_run()
                tasks.cancel_scope.cancel()
        finally:
            self.owner = None
            self._election.ended_claim = owner.claim
            OWNED_EPOCH.set(0)
            OLDEST_WAIT_SECONDS.set(0)
            self._dependencies.follower.override_interval(None)
