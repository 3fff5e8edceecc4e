"""Load the settings file that the platform provides for each process."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any, Final

import msgspec

from .exceptions import BootSettingsError

PATH_VARIABLE: Final = "MUSTARDWARD_BOOT"
_CONTRACT_ORGANISATIONS: Final = "tenants"

DEFAULT_RECORD_BYTES: Final = 262_144
DEFAULT_REQUEST_BYTES: Final = 2_097_152


class BootLimits(msgspec.Struct, frozen=True, rename="kebab"):
    """Resource limits of this process on its instance."""

    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: int = 300
    max_fds: int = 1024
    link_mbps: float = 1000.0


class BootListen(msgspec.Struct, frozen=True, rename="kebab"):
    """Addresses to listen on, as ``host:port``; empty ones are not served."""

    front: str = ""
    ready: str = ""
    control: str = ""


class BootStore(msgspec.Struct, frozen=True, rename="kebab"):
    """Address and limits of the platform's store."""

    address: str
    writes_per_s: float = 300.0
    reads_per_s: float = 1000.0
    parts: int = 1
    record_bytes: int = DEFAULT_RECORD_BYTES
    request_bytes: int = DEFAULT_REQUEST_BYTES


class BootFleet(msgspec.Struct, frozen=True, rename="kebab"):
    """Address and rate limits of the platform's fleet service."""

    address: str = ""
    rate_per_s: float = 10.0
    duty_per_s: float = 10.0


class BootBounds(msgspec.Struct, frozen=True):
    """Bounds from which the product derives its own timings."""

    stability_window_ms: float = msgspec.field(default=3000, name="stability-window-ms")
    grace_s: float = msgspec.field(default=6, name="grace-s")
    hold_max_ms: float = msgspec.field(default=10000, name="hold-max-ms")
    stop_grace_ms: float = msgspec.field(default=500, name="stop-grace-ms")
    gang_timeout_ms: float = msgspec.field(default=3000, name="gang-timeout-ms")
    status_s: float = 120
    early_ms: float = 250
    remote_factor: float = msgspec.field(default=1, name="remote-factor")
    checkpoint_interval_s: float = msgspec.field(
        default=1, name="checkpoint-interval-s"
    )
    restore_ms: float = msgspec.field(default=250, name="restore-ms")
    notice_ms: float = msgspec.field(default=4500, name="notice-ms")
    move_s: float = msgspec.field(default=1.5, name="move-s")
    maintenance_s: float = msgspec.field(default=2, name="maintenance-s")
    lease_ms: float = msgspec.field(default=3000, name="lease-ms")
    pace_ms: float = msgspec.field(default=100, name="pace-ms")
    harm_ms: float = msgspec.field(default=4000, name="harm-ms")
    drain_ms: float = msgspec.field(default=2000, name="drain-ms")
    strict_revoke: bool = msgspec.field(default=False, name="strict-revoke")
    revoke_ms: float = msgspec.field(default=5000, name="revoke-ms")


class BootSettings(msgspec.Struct, frozen=True, rename="kebab"):
    """Fields of the settings file that the product uses."""

    node: str
    ip: str
    zone: str
    listen: BootListen
    platform: BootStore
    region: str = ""
    zones: dict[str, str] = {}
    limits: BootLimits = BootLimits()
    bounds: BootBounds = BootBounds()
    cloud: BootFleet = BootFleet()
    advice: str | None = None
    orders: str = "call"
    bootstrap: bool = False
    port_range: tuple[int, int] = (0, 0)
    contracts: list[str] = []

    @property
    def has_organisations(self) -> bool:
        """Return whether callers of this deployment authenticate with API keys."""
        return _CONTRACT_ORGANISATIONS in self.contracts


def decode_boot(content: bytes) -> BootSettings:
    """Return the decoded settings; unknown fields are ignored.

    :raises BootSettingsError: if a field is missing or invalid; names the field.
    """
    try:
        return msgspec.json.decode(content, type=BootSettings)
    except msgspec.MsgspecError as error:
        raise BootSettingsError(str(error)) from error


def load_boot(environment: Any = os.environ) -> BootSettings:
    """Load the file named by the ``MUSTARDWARD_BOOT`` variable.

    :raises BootSettingsError: if the variable is not set or the file is unusable.
    """
    path = environment.get(PATH_VARIABLE)
    if not path:
        raise BootSettingsError(f"variable={PATH_VARIABLE} is not set")
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        raise BootSettingsError(str(error)) from error
    return decode_boot(content)
