"""Hold the newest version of the configuration; older versions are ignored."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from ...helpers.logging import get_logger
from ...helpers.unreadable_records import report_unreadable_record
from ...platform.exceptions import RECORD_ERRORS, UnreadableRecordError
from ...platform.models import MaintenanceWave, OperatorConfig, Queue
from ...platform.store import KEY_CONFIG, KEY_WAVE_PREFIX, KeyedRecord
from ..ledger.models import LimitsRecord
from ..organisations.keys import ApiKeyTable, build_api_keys
from ..organisations.models import Organisation
from ..scheduling.models import QueuePolicy
from .routing import RouteTable, build_route_table, queue_key

_LOGGER = get_logger(__name__)
_CONFIG = msgspec.json.Decoder(OperatorConfig)
_WAVE = msgspec.json.Decoder(MaintenanceWave)


@dataclass(slots=True, eq=False)
class Configuration:
    """Apply the records of the operator's topic.

    :param on_change: called after a newer version has taken effect.
    :param seen_version: newest version by which peers answered for this entry node.
    :param require_api_keys: whether callers need API keys regardless of the version.
    """

    config: OperatorConfig | None = None
    routes: RouteTable = field(default_factory=RouteTable)
    api_keys: ApiKeyTable = field(default_factory=ApiKeyTable)
    require_api_keys: bool = False
    waves: dict[int, MaintenanceWave] = field(default_factory=dict)
    on_change: Callable[[], None] | None = None
    seen_version: int = 0
    _policies: dict[str, QueuePolicy] = field(default_factory=dict)
    _limits: dict[str, LimitsRecord] = field(default_factory=dict)

    def apply(self, record: KeyedRecord) -> None:
        """Apply one record; an unreadable one leaves the current state unchanged."""
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
            report_unreadable_record("operator", record.key, str(error))

    @property
    def is_loaded(self) -> bool:
        """Return whether any configuration was read."""
        return self.config is not None

    @property
    def version(self) -> int:
        """Return the version in force here, or 0 if none was read."""
        return self.config.version if self.config is not None else 0

    @property
    def outdated(self) -> bool:
        """Return whether callers of this entry node have seen a newer version."""
        return self.version < self.seen_version

    @property
    def newest_version(self) -> int:
        """Return the newest version that callers of this entry node may have seen."""
        return max(self.version, self.seen_version)

    def record_seen(self, version: int) -> None:
        """Note that a peer answered a caller of this entry node by a version."""
        self.seen_version = max(self.seen_version, version)

    def keys(self) -> Iterable[str]:
        """Return no keys, so that records missing from a reload stay in effect."""
        return ()

    def policy_of(self, queue: str) -> QueuePolicy | None:
        """Return the policy of a queue, or None if no applied version had it."""
        return self._policies.get(queue)

    def limits_of(self, name: str) -> LimitsRecord | None:
        """Return an organisation's latest limits, or None if no applied version had it.

        An organisation that a newer version omits keeps its last limits: its accepted
        jobs still run, within its last quota.
        """
        return self._limits.get(name)

    def standby_pools(self) -> set[str]:
        """Return the pools whose instances are on standby, without a worker."""
        services = self.config.services if self.config else []
        return {pool.name for pool in services if pool.standby}

    def _apply_config(self, config: OperatorConfig) -> None:
        if self.config is not None and config.version <= self.config.version:
            return
        api_keys = build_api_keys(config.organisations, self.require_api_keys)
        self.api_keys = api_keys
        for organisation in api_keys.by_name.values():
            self._update_limits(config.version, organisation)
        # Drops the API keys in plain text; the key table holds their digests.
        self.config = msgspec.structs.replace(config, organisations=None)
        self.routes = build_route_table(config)
        # Policies of removed queues are kept: their accepted jobs still have to run. A
        # process that starts later has those that are stored with these jobs, as it has
        # the limits of removed organisations.
        for queue in config.routes:
            self._policies[queue_key(queue)] = make_policy(queue)
        _LOGGER.info(
            "configuration_in_force",
            version=config.version,
            queues=len(config.routes),
            organisations=len(api_keys.by_name),
            keys=len(api_keys.by_digest),
        )
        if self.on_change is not None:
            self.on_change()

    def _update_limits(self, version: int, organisation: Organisation) -> None:
        limits = LimitsRecord(version, organisation.weight, organisation.quota)
        if limits.differs(self._limits.get(organisation.name)):
            self._limits[organisation.name] = limits


def make_policy(queue: Queue) -> QueuePolicy:
    """Return the policy of a configured queue."""
    return QueuePolicy(
        queue.service,
        queue.priority,
        queue.max_attempts,
        queue.stretch,
        queue.target_duration_ms / 1000,
        queue.advice,
    )


def _decode_wave(record: KeyedRecord) -> MaintenanceWave:
    """Return the valid maintenance wave of a record.

    :raises UnreadableRecordError: if its limit or duration is invalid, since a wave
        that may take no instance would never end, or if its number differs from its
        key, since it would replace another wave.
    """
    wave = _WAVE.decode(record.value)
    if record.key != f"{KEY_WAVE_PREFIX}{wave.wave}":
        raise UnreadableRecordError(f"wave={wave.wave}")
    if wave.max_count < 1 or not 0 <= wave.duration_s < math.inf:
        raise UnreadableRecordError(
            f"max_count={wave.max_count} duration_s={wave.duration_s}"
        )
    return wave
