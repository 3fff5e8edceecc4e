"""Define the settings of one entry process.

Source: every value comes from the YAML file named on the command line; unknown keys
are errors.
"""

from __future__ import annotations

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field


class SettingsModel(BaseModel):
    """Base class of settings: immutable, rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Listener(SettingsModel):
    """Name an address to listen on."""

    host: str = Field(default="127.0.0.1", description="IP number")
    port: int = Field(ge=0, le=65535, description="TCP port; 0 takes a free one")


class EntryIdentity(SettingsModel):
    """Say who and where the process is."""

    name: str = Field(
        min_length=1,
        max_length=64,
        pattern=r"^[a-z0-9][a-z0-9.-]*$",
        description="name of the process, unique in the fleet",
    )
    data_centre: str = Field(
        min_length=1,
        max_length=64,
        pattern=r"^[a-z0-9][a-z0-9-]*$",
        description="data centre it stands in; its workers are those of the same",
    )
    region: str = Field(
        default="default",
        min_length=1,
        max_length=64,
        description="region of the data centre",
    )
    leaving_seconds: float = Field(
        default=2.0,
        ge=0,
        le=60,
        description="time a balancer gets to notice, before the listener closes",
    )


class PeerAddress(SettingsModel):
    """Name another entry process to begin with; others are learnt from it."""

    name: str = Field(description="the other entry's `entry.name`")
    data_centre: str = Field(description="the other entry's `entry.data_centre`")
    host: str = Field(description="IP number of its `peer_listen`")
    port: int = Field(ge=1, le=65535, description="TCP port of its `peer_listen`")


class PlatformSettings(SettingsModel):
    """Say where the platform's services are."""

    url: str = Field(
        pattern=r"^https?://", description="where log, list and pool service answer"
    )
    timeout_seconds: float = Field(
        default=2.0, gt=0, le=60, description="longest wait for an answer"
    )
    poll_seconds: float = Field(default=1.0, gt=0, le=30, description="long-poll wait")
    append_interval_seconds: float = Field(
        default=0.02, ge=0, le=5, description="group-commit window"
    )


class RequestLimits(SettingsModel):
    """Bound what one caller's request may cost."""

    header_bytes: int = Field(
        default=32_768, ge=1024, description="request line and headers; else 431"
    )
    body_bytes: int = Field(
        default=16_777_216, ge=0, description="a request's body; else 413"
    )
    maximum_deadline_seconds: float = Field(
        default=300.0,
        gt=0,
        le=3600,
        description="longest life of a request, whatever its caller or template asks",
    )
    queue_length: int = Field(
        default=512, ge=0, description="requests that may wait for one pool"
    )


class TlsSettings(SettingsModel):
    """Name the files of a key pair and the authority that peers must show."""

    certificate: Path = Field(description="PEM file of the process's certificate")
    key: Path = Field(description="PEM file of its private key")
    authority: Path = Field(
        description="PEM file of the authority that the other side's has to be from"
    )


class OperatorSettings(SettingsModel):
    """Say how operators reach the process."""

    listen: Listener = Listener(port=0)
    token_file: Path | None = Field(
        default=None,
        description="file with the bearer token, at least 16 characters; "
        "without one, any call that reaches the listener is let in",
    )
    tls: TlsSettings | None = None


class MetricsSettings(SettingsModel):
    """Say where statsd metrics go."""

    host: str = Field(default="127.0.0.1", description="IP number of statsd")
    port: int = Field(default=8125, ge=1, le=65535, description="UDP port of statsd")
    prefix: str = Field(default="mustardward", description="first part of all names")
    enabled: bool = Field(default=False, description="whether to feed statsd at all")


class Settings(SettingsModel):
    """Settings of one entry process."""

    entry: EntryIdentity
    callers: Listener
    operators: OperatorSettings = OperatorSettings()
    peer_listen: Listener = Listener(port=0)
    peers: tuple[PeerAddress, ...] = ()
    peer_tls: TlsSettings | None = None
    platform: PlatformSettings
    limits: RequestLimits = RequestLimits()
    metrics: MetricsSettings = MetricsSettings()
