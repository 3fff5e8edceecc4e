"""Lay out the fleet of a history: addresses, instances, pools, organisations."""

from __future__ import annotations

import json
import os
import socket
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Final

from mustardward.exceptions import MustardwardError
from mustardward.state.models.pools import AddInstance, PutPool
from mustardward.state.models.templates import (
    Overrides,
    Parameters,
    PublishTemplate,
    PutOrganisation,
    ServiceBinding,
    Urgency,
)

from .models import Floor, History, Placement

DATA_CENTRES: Final = ("bergen", "voss")
POOLS: Final = ("etching", "casting")
ENTRIES_EACH: Final = 2
WORKERS_EACH: Final = 4
TEMPLATE: Final = "standard"
FLOOR_SHARE: Final = 0.5
CALLERS_PORT: Final = 8080
OPERATORS_PORT: Final = 8081
PEERS_PORT: Final = 8082
GUARD_PORT: Final = 8083
_FIRST_NETWORK: Final = 20
_NETWORKS: Final = 200
_GUARDS: Final[list[socket.socket]] = []
SERVICES: Final = {
    "dairy": (
        ServiceBinding("climate", "etching", Urgency.URGENT),
        ServiceBinding("turning", "casting"),
    ),
    "gauges": (
        ServiceBinding("orders", "etching"),
        ServiceBinding("stock", "casting"),
    ),
}


class NoNetworkError(MustardwardError):
    """Report that every loopback network is taken by another run."""

    code = "no-network"


@dataclass(frozen=True, slots=True)
class EntryPlace:
    """Say who and where an entry is."""

    name: str
    data_centre: str
    host: str

    @property
    def url(self) -> str:
        """Return where callers reach it."""
        return f"http://{self.host}:{CALLERS_PORT}"

    @property
    def operators_url(self) -> str:
        """Return where operators reach it."""
        return f"http://{self.host}:{OPERATORS_PORT}"


@dataclass(frozen=True, slots=True)
class WorkerPlace:
    """Say who and where a worker is, and whose it is at first."""

    name: str
    data_centre: str
    rack: str
    pool: str


def network_of(data_centre: str) -> str:
    """Return the address prefix of a data centre on this machine's loopback.

    It differs between runs, so that two histories may run side by side.
    """
    return f"127.{_own_network()}.{DATA_CENTRES.index(data_centre) + 1}."


@cache
def _own_network() -> int:
    """Take a network that no other history runs in, and hold it to the end.

    Two runs in one network send requests to each other's entries; it shows as requests
    that ran twice, 30 s apart, though each run sent them once.
    """
    for step in range(_NETWORKS):
        number = _FIRST_NETWORK + (os.getpid() + step) % _NETWORKS
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            guard.bind((f"127.{number}.0.1", GUARD_PORT))
        except OSError:
            guard.close()
            continue
        _GUARDS.append(guard)
        return number
    raise NoNetworkError(f"tried={_NETWORKS}")


def entry_places() -> list[EntryPlace]:
    """Return all entries."""
    return [
        EntryPlace(f"{data_centre}-{number}", data_centre, f"{network}{number}")
        for data_centre in DATA_CENTRES
        for network in [network_of(data_centre)]
        for number in range(1, ENTRIES_EACH + 1)
    ]


def worker_places() -> list[WorkerPlace]:
    """Return all workers; a rack holds one worker of each pool."""
    return [
        WorkerPlace(
            f"{data_centre}-{pool}-{number}", data_centre, f"rack-{number}", pool
        )
        for data_centre in DATA_CENTRES
        for pool in POOLS
        for number in range(1, WORKERS_EACH + 1)
    ]


def write_settings(folder: Path, place: EntryPlace, platform_url: str) -> Path:
    """Write an entry's settings file and return its path (YAML reads JSON)."""
    others = [item for item in entry_places() if item != place]
    settings = {
        "entry": {
            "name": place.name,
            "data_centre": place.data_centre,
            "region": "west",
        },
        "callers": {"host": place.host, "port": CALLERS_PORT},
        "operators": {"listen": {"host": place.host, "port": OPERATORS_PORT}},
        "peer_listen": {"host": place.host, "port": PEERS_PORT},
        "peers": [
            {
                "name": item.name,
                "data_centre": item.data_centre,
                "host": item.host,
                "port": PEERS_PORT,
            }
            for item in others
        ],
        "platform": {"url": platform_url},
    }
    path = folder / f"{place.name}.yaml"
    path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
    return path


def first_records(addresses: dict[str, str]) -> list[object]:
    """Return the bodies that set the fleet up.

    :param addresses: address by worker.
    """
    bodies: list[object] = [PutPool(pool) for pool in POOLS]
    for place in worker_places():
        bodies.append(
            AddInstance(
                instance_id=place.name,
                data_centre=place.data_centre,
                rack=place.rack,
                address=addresses[place.name],
                pool=place.pool,
            )
        )
    bodies.append(PublishTemplate(TEMPLATE, Parameters(minimum_available=FLOOR_SHARE)))
    for name, services in SERVICES.items():
        bodies.append(PutOrganisation(name, TEMPLATE, Overrides(services=services)))
    return bodies


def describe_fleet(history: History) -> None:
    """Note in the history what the checks have to know of the fleet."""
    history.placements = [
        Placement(place.name, place.data_centre, place.rack)
        for place in worker_places()
    ]
    for organisation, services in SERVICES.items():
        for binding in services:
            name = (organisation, binding.service)
            history.pool_of_service[name] = binding.pool
        history.floors.extend(
            Floor(organisation, pool, FLOOR_SHARE, True)
            for pool in {binding.pool for binding in services}
        )
