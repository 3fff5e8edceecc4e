"""Build the TLS contexts that entries show each other."""

from __future__ import annotations

import ssl

from ...settings.models import TlsSettings

_PROTOCOL = "h2"


def server_context(settings: TlsSettings) -> ssl.SSLContext:
    """Return a context that refuses peers without a certificate of the authority."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _load(context, settings)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(settings: TlsSettings) -> ssl.SSLContext:
    """Return a context that accepts only servers the authority vouches for.

    Entries are replaced at any time and are called by IP number, so a certificate
    names the fleet's authority and not a host.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    _load(context, settings)
    return context


def _load(context: ssl.SSLContext, settings: TlsSettings) -> None:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(settings.certificate, settings.key)
    context.load_verify_locations(settings.authority)
    context.set_alpn_protocols([_PROTOCOL])
