"""Test that entries with mutual TLS refuse peers without a valid certificate."""

from __future__ import annotations

import datetime
import ipaddress
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import pytest
from anyio.abc import TaskGroup
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from mustardward.components.keys import PEERS
from mustardward.components.peers import async_setup
from mustardward.core import Core
from mustardward.exceptions import PeerError
from mustardward.helpers.timer import DrivenTimerService
from mustardward.settings.models import (
    EntryIdentity,
    Listener,
    PlatformSettings,
    Settings,
    TlsSettings,
)

from .builders import CALL_TIMEOUT_SECONDS, Echo, EchoReply, build_member, running_peers

pytestmark = pytest.mark.anyio

_BEGIN = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
_END = datetime.datetime(2120, 1, 1, tzinfo=datetime.UTC)


@dataclass(frozen=True, slots=True)
class _Authority:
    """Hold the certificate authority of a test."""

    key: ec.EllipticCurvePrivateKey
    certificate: x509.Certificate


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _build_certificate(
    subject: str, key: Any, issuer: str, issuer_key: Any, is_authority: bool
) -> x509.Certificate:
    builder = (
        x509.CertificateBuilder()
        .subject_name(_name(subject))
        .issuer_name(_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(_BEGIN)
        .not_valid_after(_END)
        .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
        .add_extension(
            x509.SubjectAlternativeName(
                [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
            ),
            critical=False,
        )
    )
    return builder.sign(issuer_key, hashes.SHA256())


def _build_authority(name: str) -> _Authority:
    key = ec.generate_private_key(ec.SECP256R1())
    return _Authority(key, _build_certificate(name, key, name, key, True))


def _write_settings(
    folder: Path, name: str, signer: _Authority, trusted: _Authority
) -> TlsSettings:
    key = ec.generate_private_key(ec.SECP256R1())
    issuer = signer.certificate.subject.rfc4514_string().removeprefix("CN=")
    certificate = _build_certificate(name, key, issuer, signer.key, False)
    settings = TlsSettings(
        certificate=folder / f"{name}.pem",
        key=folder / f"{name}.key",
        authority=folder / f"{name}-authority.pem",
    )
    pem = serialization.Encoding.PEM
    settings.certificate.write_bytes(certificate.public_bytes(pem))
    settings.key.write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    settings.authority.write_bytes(trusted.certificate.public_bytes(pem))
    return settings


async def _async_echo(sender: str, message: Any) -> EchoReply:
    served.append(message.text)
    return EchoReply(sender, message.text)


served: list[str] = []


@pytest.fixture(autouse=True)
def _clear_served() -> None:
    served.clear()


async def test_entries_of_one_authority_connect(tmp_path: Path) -> None:
    authority = _build_authority("fleet")
    tls_a = _write_settings(tmp_path, "a", authority, authority)
    tls_b = _write_settings(tmp_path, "b", authority, authority)
    async with running_peers("a", tls=tls_a) as a, running_peers("b", tls=tls_b) as b:
        b.handle(Echo, _async_echo)
        reply = await a.async_call(
            build_member("b", b.address), Echo("hello"), CALL_TIMEOUT_SECONDS
        )
        assert reply == EchoReply("a", "hello")


async def _async_check_refused(
    tls_a: TlsSettings | None, tls_b: TlsSettings | None
) -> None:
    async with running_peers("a", tls=tls_a) as a, running_peers("b", tls=tls_b) as b:
        b.handle(Echo, _async_echo)
        with pytest.raises(PeerError):
            await a.async_call(
                build_member("b", b.address), Echo("hello"), CALL_TIMEOUT_SECONDS
            )
        assert served == []


async def test_plaintext_peer_is_refused(tmp_path: Path) -> None:
    authority = _build_authority("fleet")
    tls_b = _write_settings(tmp_path, "b", authority, authority)
    await _async_check_refused(None, tls_b)


async def test_certificate_of_another_authority_is_refused(tmp_path: Path) -> None:
    """Guard against an untrusted client that sends digests to the fleet.

    It uses a self-made key pair and accepts any server, so TLS that verifies the
    server alone does not keep it out.
    """
    fleet = _build_authority("fleet")
    other = _build_authority("stranger")
    tls_a = _write_settings(tmp_path, "a", other, fleet)
    await _async_check_refused(tls_a, _write_settings(tmp_path, "b", fleet, fleet))


async def test_server_of_another_authority_is_refused(tmp_path: Path) -> None:
    fleet = _build_authority("fleet")
    other = _build_authority("stranger")
    tls_a = _write_settings(tmp_path, "a", fleet, fleet)
    await _async_check_refused(tls_a, _write_settings(tmp_path, "b", other, fleet))


async def test_settings_enable_mutual_tls(tmp_path: Path) -> None:
    authority = _build_authority("fleet")
    tls_b = _write_settings(tmp_path, "b", authority, authority)
    settings = Settings(
        entry=EntryIdentity(name="b", data_centre="tas-1"),
        callers=Listener(port=0),
        peer_tls=tls_b,
        platform=PlatformSettings(url="http://127.0.0.1:1"),
    )
    core = Core(settings, DrivenTimerService(), cast(TaskGroup, None))
    unload = await async_setup(core)
    core.get(PEERS).handle(Echo, _async_echo)
    member = build_member("b", core.get(PEERS).address)
    tls_a = _write_settings(tmp_path, "a", authority, authority)
    async with running_peers("a", tls=tls_a) as a, running_peers("c") as c:
        assert (
            await a.async_call(member, Echo("hello"), CALL_TIMEOUT_SECONDS)
        ).text == "hello"
        with pytest.raises(PeerError):
            await c.async_call(member, Echo("plain"), CALL_TIMEOUT_SECONDS)
    await unload()
    assert served == ["hello"]
