"""Test that unreadable operator records leave the current configuration unchanged."""

from __future__ import annotations

import msgspec
import pytest

from mustardward.components.configuration.services import Configuration
from mustardward.platform.store import KEY_CONFIG, KEY_WAVE_PREFIX, KeyedRecord

VALID_CONFIG = b'{"version":3,"routes":[],"services":[{"name":"a","standby":true}]}'
WAVE = {"wave": 1, "machines": ["m-1"], "duration-s": 10.0, "max-count": 2}


@pytest.mark.parametrize(
    "value",
    [b"\xff", b"null", b"[" * 5000, b'{"version":"x"}', b'{"version":9,"routes":7}'],
)
def test_an_unreadable_configuration_does_not_replace_the_current_one(
    value: bytes,
) -> None:
    configuration = Configuration()
    configuration.apply(KeyedRecord(1, KEY_CONFIG, VALID_CONFIG))
    configuration.apply(KeyedRecord(2, KEY_CONFIG, value))
    assert configuration.standby_pools() == {"a"}


@pytest.mark.parametrize("number", [2**64, -(2**63) - 1, 2**200])
@pytest.mark.parametrize("field", ["priority", "max-attempts"])
def test_a_policy_that_no_record_can_hold_is_rejected(field: str, number: int) -> None:
    """Guard against an owner that ends when it stores a job's policy."""
    configuration = Configuration()
    route = {"name": "q", "host": "h", "path-prefix": "/a/", "service": "a"}
    body = {"version": 3, "routes": [{**route, field: number}]}
    value = msgspec.json.encode(body)
    configuration.apply(KeyedRecord(1, KEY_CONFIG, value))
    assert configuration.policy_of("h /a/") is None
    body = {"version": 4, "routes": [{**route, field: 5}]}
    configuration.apply(KeyedRecord(2, KEY_CONFIG, msgspec.json.encode(body)))
    policy = configuration.policy_of("h /a/")
    assert policy is not None
    assert msgspec.msgpack.encode(policy.to_record())


@pytest.mark.parametrize("number", [2**64, -(2**63) - 1, 2**200])
@pytest.mark.parametrize("field", ["cpu", "mem-mb", "gpu", "version"])
def test_limits_that_no_record_can_hold_are_rejected(field: str, number: int) -> None:
    """Guard against an entry node that fails to store each job of an organisation."""
    configuration = Configuration()
    quota = {field: number} if field != "version" else {}
    dairy = {"name": "dairy", "api-keys": ["k"], "max-count": quota}
    version = number if field == "version" else 3
    body = {"version": version, "routes": [], "tenants": [dairy]}
    configuration.apply(KeyedRecord(1, KEY_CONFIG, msgspec.json.encode(body)))
    assert configuration.limits_of("dairy") is None
    body = {"version": 4, "routes": [], "tenants": [{**dairy, "max-count": {}}]}
    configuration.apply(KeyedRecord(2, KEY_CONFIG, msgspec.json.encode(body)))
    limits = configuration.limits_of("dairy")
    assert limits is not None
    assert msgspec.msgpack.encode(limits)


@pytest.mark.parametrize(
    "change",
    [{"max-count": 0}, {"max-count": -2}, {"duration-s": -1}, {"wave": 2}]
    + [{"machines": "m-1"}, {"machines": [None]}, {"max-count": None}],
)
def test_an_invalid_wave_is_ignored(change: dict[str, object]) -> None:
    configuration = Configuration()
    key = f"{KEY_WAVE_PREFIX}1"
    configuration.apply(KeyedRecord(1, key, msgspec.json.encode({**WAVE, **change})))
    assert configuration.waves == {}
    configuration.apply(KeyedRecord(2, key, msgspec.json.encode(WAVE)))
    assert configuration.waves[1].max_count == 2
