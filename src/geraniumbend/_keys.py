"""Signatures with the cluster keys."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from geraniumbend.errors import AuthenticationError, SettingsError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from geraniumbend.settings import KeySettings

TAG_BYTES = 16
MIN_SECRET_BYTES = 16


class KeyRing:
    """Cluster keys: signs with the first one and verifies with all.

    Parameters
    ----------
    keys : iterable of (int, bytes)
        Key numbers from 0 to 255 with their secrets; the first one signs.

    Raises
    ------
    SettingsError
        If there is no key, a number is out of range or repeated, or a secret has
        fewer than 16 bytes.
    """

    def __init__(self, keys: Iterable[tuple[int, bytes]]) -> None:
        self._secrets: dict[int, bytes] = {}
        self.active = 0
        self.replace(keys)

    def replace(self, keys: Iterable[tuple[int, bytes]]) -> None:
        """Replace the keys, from the next frame on; open connections stay open.

        Parameters
        ----------
        keys : iterable of (int, bytes)
            Key numbers with their secrets; the first one signs.

        Raises
        ------
        SettingsError
            If a key is invalid, or a number in use gets another secret; the
            earlier keys then stay in use.
        """
        pairs = list(keys)
        if not pairs:
            raise SettingsError("no cluster key is set", "add a [[keys]] table")
        secrets: dict[int, bytes] = {}
        for number, secret in pairs:
            if not 0 <= number <= 255 or number in secrets:
                raise SettingsError(
                    f"cluster key number {number} is out of range or repeated",
                    "give each key its own number from 0 to 255",
                )
            if len(secret) < MIN_SECRET_BYTES:
                raise SettingsError(
                    f"cluster key {number} has fewer than {MIN_SECRET_BYTES} bytes",
                    "use at least 16 random bytes",
                )
            if self._secrets.get(number, secret) != secret:
                raise SettingsError(
                    f"cluster key {number} has another secret than before",
                    "give the new secret a number of its own",
                )
            secrets[number] = secret
        self._secrets = secrets
        self.active = pairs[0][0]

    @classmethod
    def from_config(cls, keys: Iterable[KeySettings]) -> KeyRing:
        """Build the ring from the ``[[keys]]`` tables of the settings.

        Parameters
        ----------
        keys : iterable of KeySettings
            Keys in order of preference.

        Returns
        -------
        KeyRing
            Ring of these keys.
        """
        return cls((key.number, key.secret.encode()) for key in keys)

    def sign(self, *parts: bytes) -> bytes:
        """Return the tag of a message under the active key.

        Parameters
        ----------
        *parts : bytes
            Parts of the message, in order; they are concatenated, so the caller
            must fix or encode their lengths.

        Returns
        -------
        bytes of length 16
            Truncated HMAC-SHA256 (RFC 2104).
        """
        return self._tag(self._secrets[self.active], parts)

    def verify(self, number: int, tag: bytes, *parts: bytes) -> None:
        """Check the tag of a message.

        Parameters
        ----------
        number : int
            Key number that the sender stated.
        tag : bytes
            Tag that the sender sent.
        *parts : bytes
            Parts of the message as they were signed.

        Raises
        ------
        AuthenticationError
            If the key is unknown or the tag is wrong.
        """
        secret = self._secrets.get(number)
        if secret is None or not hmac.compare_digest(tag, self._tag(secret, parts)):
            raise AuthenticationError(
                f"frame with key number {number} has no valid tag",
                "check that all processes hold the same [[keys]]",
            )

    @staticmethod
    def _tag(secret: bytes, parts: Iterable[bytes]) -> bytes:
        return hmac.digest(secret, b"".join(parts), "sha256")[:TAG_BYTES]
