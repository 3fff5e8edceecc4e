"""Test mutual TLS on the operators' listener."""

from __future__ import annotations

import ssl
from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from pathlib import Path

import anyio
import httpx
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from mustardward.components.api.setup import async_setup_api
from mustardward.components.keys import API
from mustardward.core import Core
from mustardward.exceptions import SettingsError
from mustardward.helpers.listener import HttpListener, ListenerOptions
from mustardward.helpers.timer import DrivenTimerService
from mustardward.settings.models import Listener, OperatorSettings, TlsSettings
from tests.fakes.entry import build_settings

pytestmark = pytest.mark.anyio

Key = ec.EllipticCurvePrivateKey


def create_certificate(
    folder: Path, name: str, issuer: tuple[x509.Certificate, Key] | None
) -> tuple[x509.Certificate, Key]:
    """Write NAME.crt and NAME.key; without an issuer, those of an authority."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.now(UTC)
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject if issuer is None else issuer[0].subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .add_extension(x509.BasicConstraints(issuer is None, None), True)
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ip_address("127.0.0.1"))]),
            False,
        )
    )
    certificate = builder.sign(key if issuer is None else issuer[1], hashes.SHA256())
    encoding = serialization.Encoding.PEM
    (folder / f"{name}.crt").write_bytes(certificate.public_bytes(encoding))
    (folder / f"{name}.key").write_bytes(
        key.private_bytes(
            encoding,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return certificate, key


async def test_client_without_a_certificate_is_rejected(tmp_path: Path) -> None:
    """Guard against a listener that does not require a client certificate.

    Anyone on the network could then read the state of the fleet.
    """
    authority = create_certificate(tmp_path, "authority", None)
    for name in ("server", "client"):
        create_certificate(tmp_path, name, authority)
    tls = TlsSettings(
        certificate=tmp_path / "server.crt",
        key=tmp_path / "server.key",
        authority=tmp_path / "authority.crt",
    )
    settings = build_settings().model_copy(
        update={"operators": OperatorSettings(tls=tls)}
    )
    with anyio.fail_after(20):
        async with anyio.create_task_group() as tasks:
            core = Core(settings, DrivenTimerService(), tasks)
            unload = await async_setup_api(core)
            url = f"https://127.0.0.1:{core.get(API).port}/openapi.json"
            trust = ssl.create_default_context(cafile=str(tls.authority))
            async with httpx.AsyncClient(verify=trust) as client:
                with pytest.raises(httpx.TransportError):
                    await client.get(url)
            trust.load_cert_chain(tmp_path / "client.crt", tmp_path / "client.key")
            async with httpx.AsyncClient(verify=trust) as client:
                response = await client.get(url)
            await unload()
    assert response.status_code == 200


def test_unreadable_certificate_is_a_settings_error(tmp_path: Path) -> None:
    tls = TlsSettings(
        certificate=tmp_path / "a", key=tmp_path / "b", authority=tmp_path / "c"
    )
    with pytest.raises(SettingsError, match="tls: one of"):
        HttpListener(lambda: None, Listener(port=0), ListenerOptions(tls=tls))  # type: ignore[arg-type]
