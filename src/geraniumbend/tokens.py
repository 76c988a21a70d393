"""Salted hashes of operators' bearer tokens."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import os

from geraniumbend.errors import SettingsError

# Parameters of scrypt (RFC 7914). A check takes 16 MiB and about 40 ms: slow enough to
# hinder brute-force attacks on the hashes of a leaked settings file, fast enough for a
# control host.
COST_LOG2 = 14
BLOCK_SIZE = 8
PARALLELIZATION = 1
SALT_BYTES = 16
DIGEST_BYTES = 32
MAX_COST_LOG2 = 17
MAX_TOKEN_BYTES = 1024


def hash_token(token: str) -> str:
    """Hash an operator's token for the settings file.

    Parameters
    ----------
    token : str
        Token, 16 to 1024 bytes in UTF-8.

    Returns
    -------
    str
        ``scrypt$log2(N)$r$p$salt$digest`` with salt and digest in base64.

    Raises
    ------
    SettingsError
        If the token is too short or too long.
    """
    if not 16 <= len(token.encode()) <= MAX_TOKEN_BYTES:
        raise SettingsError(
            "an operator's token must have 16 to 1024 bytes",
            "create one with: openssl rand -hex 24",
        )
    salt = os.urandom(SALT_BYTES)
    digest = _derive(token.encode(), salt, COST_LOG2, BLOCK_SIZE, PARALLELIZATION)
    parts = [_encode(salt), _encode(digest)]
    return f"scrypt${COST_LOG2}${BLOCK_SIZE}${PARALLELIZATION}${parts[0]}${parts[1]}"


def verify_token(token: str, hashed: str) -> bool:
    """Check a token against its hash in constant time.

    Parameters
    ----------
    token : str
        Token that the operator sent.
    hashed : str
        Output of `hash_token`.

    Returns
    -------
    bool
        Whether the token is the one that was hashed.

    Raises
    ------
    SettingsError
        If the hash is malformed or its cost is out of range.
    """
    cost_log2, block_size, parallel, salt, digest = _parse(hashed)
    raw = token.encode("utf-8", "surrogateescape")
    if len(raw) > MAX_TOKEN_BYTES:
        return False
    return hmac.compare_digest(
        _derive(raw, salt, cost_log2, block_size, parallel), digest
    )


def _derive(
    token: bytes, salt: bytes, cost_log2: int, block_size: int, parallel: int
) -> bytes:
    memory = 128 * block_size * ((1 << cost_log2) + parallel + 2) * 2
    return hashlib.scrypt(
        token,
        salt=salt,
        n=1 << cost_log2,
        r=block_size,
        p=parallel,
        maxmem=memory,
        dklen=DIGEST_BYTES,
    )


def _parse(hashed: str) -> tuple[int, int, int, bytes, bytes]:
    try:
        scheme, cost_log2, block_size, parallel, salt, digest = hashed.split("$")
        numbers = (int(cost_log2), int(block_size), int(parallel))
        decoded = (_decode(salt), _decode(digest))
    except (ValueError, binascii.Error) as error:
        raise _malformed() from error
    in_range = (
        scheme == "scrypt"
        and 10 <= numbers[0] <= MAX_COST_LOG2
        and 1 <= numbers[1] <= 16
        and 1 <= numbers[2] <= 4
        and len(decoded[0]) >= SALT_BYTES
        and len(decoded[1]) == DIGEST_BYTES
    )
    if not in_range:
        raise _malformed()
    return (*numbers, *decoded)


def _malformed() -> SettingsError:
    return SettingsError(
        "the hash of an operator's token is malformed",
        "create it with: geraniumbend token hash",
    )


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode(text: str) -> bytes:
    return base64.b64decode(text, validate=True)
