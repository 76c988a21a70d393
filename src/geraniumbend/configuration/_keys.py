"""Keys of tenants in documents from operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from geraniumbend.errors import ConfigurationError
from geraniumbend.model import digest_key

if TYPE_CHECKING:
    from collections.abc import Sequence

# Characters that a header field cannot carry, at its ends or at all.
BLANKS = " \t"
FORBIDDEN = frozenset("\0\r\n")


def digest_keys(keys: Sequence[str], place: str) -> tuple[str, ...]:
    """Return the digests of keys, each once.

    Parameters
    ----------
    keys : sequence of str
        Keys as callers send them.
    place : str
        Place of the keys in error messages, which never hold the keys.

    Raises
    ------
    ConfigurationError
        If a key is empty or cannot be sent in a header field.
    """
    for number, key in enumerate(keys):
        if not key:
            raise ConfigurationError(
                f"{place}: key {number} is empty", "remove it or give the key"
            )
        if key != key.strip(BLANKS) or not FORBIDDEN.isdisjoint(key):
            raise ConfigurationError(
                f"{place}: key {number} has a line break, or a blank at its ends",
                "remove it; no caller can send such a key",
            )
    return tuple(dict.fromkeys(digest_key(key) for key in keys))


def replace_keys(document: dict[str, Any], source: str) -> dict[str, Any]:
    """Return a document with the digests of the tenants' keys in their place.

    Parameters
    ----------
    document : dict
        Decoded tables of a configuration file; it is not changed.
    source : str
        Name of the file in error messages.

    Returns
    -------
    dict
        Document with `key_digests` in place of `keys`; entries that are no tables are
        left to the parser.

    Raises
    ------
    ConfigurationError
        If the keys of a tenant are no list of texts, or one of them is unusable.
    """
    tenants = document.get("tenants")
    if not isinstance(tenants, dict):
        return document
    replaced = {
        name: _replace(entry, f"{source}: tenants.{name}")
        for name, entry in tenants.items()
    }
    return {**document, "tenants": replaced}


def _replace(entry: Any, place: str) -> Any:
    if not isinstance(entry, dict) or "keys" not in entry:
        return entry
    keys = entry["keys"]
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise ConfigurationError(
            f"{place}: keys is not a list of texts", 'write keys = ["KEY"]'
        )
    digests = entry.get("key_digests", [])
    if not isinstance(digests, list):
        return entry
    rest = {name: value for name, value in entry.items() if name != "keys"}
    unique = dict.fromkeys([*digests, *digest_keys(keys, f"{place}, keys")])
    return {**rest, "key_digests": list(unique)}
