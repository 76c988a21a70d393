"""TLS contexts of listeners and clients, reloaded while connections are open."""

from __future__ import annotations

import os
import ssl
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

from geraniumbend.errors import SettingsError
from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from collections.abc import Iterator

    from geraniumbend.settings import TlsSettings
    from geraniumbend.timers import Subscription, TimerService

RELOAD_PERIOD_S = 5.0
# Where OpenSSL looks for the system's certificates.
SYSTEM_CERTIFICATES = ("SSL_CERT_FILE", "SSL_CERT_DIR")

declare_event(
    120, "certificate_reloaded", "info", "Changed certificate files are used."
)
declare_event(
    121,
    "certificate_not_reloaded",
    "error",
    "Changed certificate files are unusable; the earlier ones stay in use.",
)


class Certificates:
    """TLS context that follows its files.

    A listener's context stays the same object: its certificate is replaced in place,
    so new handshakes use the new one and open connections go on. Trusted issuers are
    added in place; removing one takes a restart.

    Parameters
    ----------
    settings : TlsSettings
        Paths of the files.
    server : bool
        Whether the context is for a listener.

    Raises
    ------
    SettingsError
        If a file is missing or unusable.
    """

    def __init__(self, settings: TlsSettings, server: bool) -> None:
        self._settings = settings
        self._server = server
        self._check_settings()
        self._seen = self._stat()
        self.context = self._build()
        self.reloads = 0

    def watch(self, timers: TimerService) -> Subscription:
        """Check the files every 5 s.

        Parameters
        ----------
        timers : TimerService
            Periods.

        Returns
        -------
        Subscription
            Ends the checks when cancelled.
        """
        return timers.every(RELOAD_PERIOD_S, self._check)

    def reload_if_changed(self) -> bool:
        """Use the files again when they changed.

        Returns
        -------
        bool
            Whether other files are used now; unusable ones are logged and ignored.
        """
        seen = self._stat()
        if seen == self._seen:
            return False
        try:
            # A damaged file must not leave the live context half changed.
            self._build()
            self._load(self.context)
        except SettingsError as error:
            log_event(121, error=str(error))
            return False
        self._seen = seen
        self.reloads += 1
        log_event(120, certificate=self._settings.certificate)
        return True

    def _check(self) -> None:
        self.reload_if_changed()

    def _check_settings(self) -> None:
        if self._server and not (self._settings.certificate and self._settings.key):
            raise SettingsError(
                "a TLS listener has no certificate or no key",
                "set certificate and key in its tls table",
            )
        if bool(self._settings.certificate) != bool(self._settings.key):
            raise SettingsError(
                "a certificate without its key is set, or the reverse",
                "set both certificate and key",
            )

    def _build(self) -> ssl.SSLContext:
        if self._server:
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            if self._settings.authority:
                context.verify_mode = ssl.CERT_REQUIRED
        else:
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
            if not self._settings.authority:
                context.load_default_certs()
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._load(context)
        return context

    def _load(self, context: ssl.SSLContext) -> None:
        settings = self._settings
        try:
            if settings.certificate:
                # An encrypted key would make OpenSSL ask on the terminal.
                context.load_cert_chain(
                    settings.certificate, settings.key, password=_refuse_password
                )
            if settings.authority:
                context.load_verify_locations(settings.authority)
        except (OSError, ValueError) as error:
            raise SettingsError(
                f"certificate files of {settings.certificate or settings.authority} "
                f"are unusable: {error}",
                "check paths, permissions and that key and certificate match",
            ) from error

    def _stat(self) -> tuple[tuple[int, int, int], ...]:
        settings = self._settings
        paths = [settings.certificate, settings.key, settings.authority]
        return tuple(_stat_file(path) for path in paths if path)


@contextmanager
def skip_system_certificates() -> Iterator[None]:
    """Keep libraries from loading the system's certificates at their import.

    aiohttp prepares a default context that this program never uses; reading 140
    certificates for it takes 0.1 s of each start.
    """
    known = {name: os.environ.get(name) for name in SYSTEM_CERTIFICATES}
    os.environ.update(dict.fromkeys(SYSTEM_CERTIFICATES, os.devnull))
    try:
        yield
    finally:
        for name, value in known.items():
            if value is None:
                del os.environ[name]
            else:
                os.environ[name] = value


def listener_certificates(settings: TlsSettings | None) -> Certificates | None:
    """Return the certificates of a listener, None without TLS."""
    return None if settings is None else Certificates(settings, server=True)


def client_certificates(settings: TlsSettings | None) -> Certificates | None:
    """Return the certificates for connections to backend servers, None without TLS.

    The certificate of a backend server must name the IP address that the server
    announces.
    """
    return None if settings is None else Certificates(settings, server=False)


def _refuse_password() -> bytes:
    raise ValueError("the private key is encrypted")


def _stat_file(path: str) -> tuple[int, int, int]:
    try:
        found = Path(path).stat()
    except OSError:
        return (0, 0, 0)
    return (found.st_ino, found.st_size, found.st_mtime_ns)
