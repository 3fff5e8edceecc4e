"""Create the TLS contexts of connections between entries."""

from __future__ import annotations

import ssl

from ...settings.models import TlsSettings

_ALPN_PROTOCOL = "h2"


def create_server_context(settings: TlsSettings) -> ssl.SSLContext:
    """Return a context that requires client certificates signed by the authority."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _load(context, settings)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def create_client_context(settings: TlsSettings) -> ssl.SSLContext:
    """Return a context that accepts server certificates signed by the authority.

    Host names are not checked: entries are replaced at any time and are called by IP
    address, so a certificate proves membership of the fleet, not the host.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    _load(context, settings)
    return context


def _load(context: ssl.SSLContext, settings: TlsSettings) -> None:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(settings.certificate, settings.key)
    context.load_verify_locations(settings.authority)
    context.set_alpn_protocols([_ALPN_PROTOCOL])
