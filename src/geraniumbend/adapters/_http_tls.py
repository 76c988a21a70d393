from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

from geraniumbend.errors import SettingsError

if TYPE_CHECKING:
    from geraniumbend.settings import TlsSettings

REMEDY = "check the PEM files of the tls table"


def create_server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return the TLS context of a listener.

    Parameters
    ----------
    tls : TlsSettings
        Certificate and key; with an authority, callers need a certificate of it.

    Raises
    ------
    SettingsError
        If a file cannot be read.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(tls.certificate, tls.key or None)
        if tls.authority:
            context.load_verify_locations(tls.authority)
            context.verify_mode = ssl.CERT_REQUIRED
    except OSError as error:
        raise SettingsError(f"TLS cannot be set up: {error}", REMEDY) from error
    return context


def create_client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Return the TLS context of connections to backend servers.

    Parameters
    ----------
    tls : TlsSettings
        Trusted issuers; certificate and key are presented if they are set.

    Raises
    ------
    SettingsError
        If a file cannot be read.
    """
    try:
        context = ssl.create_default_context(cafile=tls.authority or None)
        if tls.certificate:
            context.load_cert_chain(tls.certificate, tls.key or None)
    except OSError as error:
        raise SettingsError(f"TLS cannot be set up: {error}", REMEDY) from error
    return context
