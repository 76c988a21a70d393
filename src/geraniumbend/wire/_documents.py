"""Decoding of JSON documents from outside."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from geraniumbend.errors import ProtocolError

T = TypeVar("T")


def decode_document(body: bytes | str, type: type[T] = Any, remedy: str = "") -> T:  # type: ignore[assignment]
    """Return the content of a JSON document from outside.

    Parameters
    ----------
    body : bytes or str
        JSON document.
    type : type, default=Any
        Type of the content; values of other types are refused.
    remedy : str, default=""
        Remedy in the error.

    Raises
    ------
    ProtocolError
        If the document is malformed, nested too deeply or of another type.
    """
    try:
        return msgspec.json.decode(body, type=type)
    except RecursionError as error:
        raise ProtocolError("the document is nested too deeply", remedy) from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ProtocolError(str(error), remedy) from error
