"""Hold the newest configuration, and never go back to an older one."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from ...helpers.logging import get_logger
from ...helpers.unreadable import note_unreadable
from ...platform.exceptions import RECORD_ERRORS, UnreadableRecordError
from ...platform.models import OperatorConfig, Room, UpkeepWave
from ...platform.store import KEY_CONFIG, KEY_WAVE_PREFIX, KeyedRecord
from ..organisations.keys import KeyTable, build_keys
from ..organisations.models import Organisation
from ..scheduling.models import QueuePolicy
from .routing import RouteTable, build_table, queue_key

_LOGGER = get_logger(__name__)
_CONFIG = msgspec.json.Decoder(OperatorConfig)
_WAVE = msgspec.json.Decoder(UpkeepWave)


@dataclass(slots=True, eq=False)
class Configuration:
    """Fold the operator's topic.

    :param on_change: called after a newer version came into force.
    :param asks_for_keys: whether callers have to show keys whatever a version says.
    """

    config: OperatorConfig | None = None
    table: RouteTable = field(default_factory=RouteTable)
    keys_in_force: KeyTable = field(default_factory=KeyTable)
    asks_for_keys: bool = False
    waves: dict[int, UpkeepWave] = field(default_factory=dict)
    on_change: Callable[[], None] | None = None
    _policies: dict[str, QueuePolicy] = field(default_factory=dict)
    _organisations: dict[str, Organisation] = field(default_factory=dict)

    def apply(self, record: KeyedRecord) -> None:
        """Fold one record."""
        try:
            if record.key == KEY_CONFIG and record.value:
                self._apply_config(_CONFIG.decode(record.value))
            elif record.key.startswith(KEY_WAVE_PREFIX) and record.value:
                wave = _decode_wave(record)
                if self.waves.get(wave.wave) != wave:
                    _LOGGER.info(
                        "wave_published",
                        wave=wave.wave,
                        machines=len(wave.machines),
                        max_count=wave.max_count,
                        duration_s=wave.duration_s,
                    )
                self.waves[wave.wave] = wave
        except RECORD_ERRORS as error:
            # What was in force before stays so.
            note_unreadable("operator", record.key, str(error))

    def keys(self) -> Iterable[str]:
        """Return no keys: what the operator published stays in force."""
        return ()

    def policy_of(self, queue: str) -> QueuePolicy | None:
        """Return the policy of a queue, or None if no version in force has it."""
        return self._policies.get(queue)

    def organisation(self, name: str) -> Organisation | None:
        """Return an organisation as it was last named, or None if it never was.

        One that is named no more may have jobs that were accepted: they are still run,
        within its last quota.
        """
        return self._organisations.get(name)

    def quota_of(self, name: str) -> Room:
        """Return what an organisation may have running; 0 is no limit."""
        organisation = self.organisation(name)
        return organisation.quota if organisation is not None else Room()

    def rate_of(self, name: str) -> float:
        """Return the jobs a second that are an organisation's share; 0 is no bound."""
        organisation = self.organisation(name)
        return organisation.weight if organisation is not None else 0.0

    def standby_pools(self) -> set[str]:
        """Return the pools whose instances are off."""
        services = self.config.services if self.config else []
        return {pool.name for pool in services if pool.standby}

    def _apply_config(self, config: OperatorConfig) -> None:
        if self.config is not None and config.version <= self.config.version:
            return
        keys = build_keys(config.organisations, self.asks_for_keys)
        self.keys_in_force = keys
        self._organisations.update(keys.by_name)
        # The keys themselves are not held: a digest of each is.
        self.config = msgspec.structs.replace(config, organisations=None)
        self.table = build_table(config)
        # Policies of queues that went stay known: their jobs are still to be run.
        for queue in config.routes:
            self._policies[queue_key(queue)] = QueuePolicy(
                queue.service,
                queue.priority,
                queue.max_attempts,
                queue.stretch,
                queue.target_duration_ms / 1000,
                queue.advice is not None,
            )
        _LOGGER.info(
            "configuration_in_force",
            version=config.version,
            queues=len(config.routes),
            organisations=len(keys.by_name),
            keys=len(keys.by_digest),
        )
        if self.on_change is not None:
            self.on_change()


def _decode_wave(record: KeyedRecord) -> UpkeepWave:
    """Return a wave that can be carried out.

    :raises UnreadableRecordError: if it can't: with no instance at once it would never
        end, and under another number it would take the place of another wave.
    """
    wave = _WAVE.decode(record.value)
    if record.key != f"{KEY_WAVE_PREFIX}{wave.wave}":
        raise UnreadableRecordError(f"wave={wave.wave}")
    if wave.max_count < 1 or not 0 <= wave.duration_s < math.inf:
        raise UnreadableRecordError(
            f"max_count={wave.max_count} duration_s={wave.duration_s}"
        )
    return wave
