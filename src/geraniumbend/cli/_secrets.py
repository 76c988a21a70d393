"""Commands that create tokens and keys."""

from __future__ import annotations

import secrets
import sys

from geraniumbend.cli._application import commands
from geraniumbend.tokens import hash_token

# Random bytes of a token or key.
TOKEN_BYTES = 32


@commands.register("token new")
def create_token() -> int:
    """Print a new operator token and its hash for the settings of control hosts.

    Returns
    -------
    int
        Exit code.
    """
    token = secrets.token_urlsafe(TOKEN_BYTES)
    print(f"token {token}")
    print(f"hash  {hash_token(token)}")
    return 0


@commands.register("token hash")
def print_token_hash() -> int:
    """Read a token from standard input and print its hash.

    Returns
    -------
    int
        Exit code.
    """
    print(hash_token(sys.stdin.readline().strip()))
    return 0


@commands.register("key new")
def create_key() -> int:
    """Print a new secret for a [[keys]] table.

    Returns
    -------
    int
        Exit code.
    """
    print(secrets.token_hex(TOKEN_BYTES))
    return 0
