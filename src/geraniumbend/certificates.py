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
# Environment variables that tell OpenSSL where the system's certificates are.
SYSTEM_CERTIFICATE_VARIABLES = ("SSL_CERT_FILE", "SSL_CERT_DIR")

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
    """TLS context that is reloaded when its files change.

    A listener's context stays the same object: its certificate is replaced in place,
    so new handshakes use the new one and open connections stay open. Trusted issuers
    are added in place; removing one requires a restart.

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
        self._file_versions = self._read_file_versions()
        self.context = self._build()
        self.reloads = 0

    def watch(self, timers: TimerService) -> Subscription:
        """Check the files every 5 s.

        Parameters
        ----------
        timers : TimerService
            Service that schedules the checks.

        Returns
        -------
        Subscription
            Ends the checks when cancelled.
        """
        return timers.every(RELOAD_PERIOD_S, self._check)

    def reload_if_changed(self) -> bool:
        """Reload the files if they have changed.

        Returns
        -------
        bool
            Whether changed files are in use now; unusable ones are logged and
            ignored.
        """
        versions = self._read_file_versions()
        if versions == self._file_versions:
            return False
        try:
            # Try the files on a new context first: a damaged file must not leave the
            # context in use partly changed.
            self._build()
            self._load(self.context)
        except SettingsError as error:
            log_event(121, error=str(error))
            return False
        self._file_versions = versions
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
                "only one of certificate and key is set",
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
                # Without a password callback, OpenSSL would prompt on the terminal for
                # the password of an encrypted key.
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

    def _read_file_versions(self) -> tuple[tuple[int, int, int], ...]:
        settings = self._settings
        paths = [settings.certificate, settings.key, settings.authority]
        return tuple(_read_file_version(path) for path in paths if path)


@contextmanager
def skip_system_certificates() -> Iterator[None]:
    """Keep libraries from loading the system's certificates when they are imported.

    aiohttp creates a default context that this program never uses; loading 140
    certificates into it takes 0.1 s at each start.
    """
    saved = {name: os.environ.get(name) for name in SYSTEM_CERTIFICATE_VARIABLES}
    os.environ.update(dict.fromkeys(SYSTEM_CERTIFICATE_VARIABLES, os.devnull))
    try:
        yield
    finally:
        for name, value in saved.items():
            if value is None:
                del os.environ[name]
            else:
                os.environ[name] = value


def listener_certificates(settings: TlsSettings | None) -> Certificates | None:
    """Return the TLS context of a listener, None without TLS."""
    return None if settings is None else Certificates(settings, server=True)


def client_certificates(settings: TlsSettings | None) -> Certificates | None:
    """Return the TLS context for connections to backend servers, None without TLS.

    The certificate of a backend server must name the IP address that the server
    announces.
    """
    return None if settings is None else Certificates(settings, server=False)


def _refuse_password() -> bytes:
    raise ValueError("the private key is encrypted")


def _read_file_version(path: str) -> tuple[int, int, int]:
    try:
        status = Path(path).stat()
    except OSError:
        return (0, 0, 0)
    return (status.st_ino, status.st_size, status.st_mtime_ns)
