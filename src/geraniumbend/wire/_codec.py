"""Thrift structs and their encoding."""

from __future__ import annotations

from functools import cache
from types import ModuleType
from typing import Any, TypeVar

from geraniumbend.errors import ProtocolError
from geraniumbend.wire._specs import SPECS
from geraniumbend.wire._thrift_library import (
    TCyBinaryProtocol,
    TCyBufferedTransport,
    TMemoryBuffer,
    TPayload,
    gen_init,
)

T = TypeVar("T")


@cache
def load_structs(name: str = "geraniumbend") -> Any:
    """Return the structs of an IDL file of this package.

    The classes are built from specifications that `make structs` generates, because
    parsing the IDL files takes 0.2 s at each start.

    Parameters
    ----------
    name : str, default="geraniumbend"
        File name without the ``.thrift`` suffix.

    Returns
    -------
    module
        Module whose attributes are the struct classes.
    """
    module = ModuleType(f"{name}_thrift")
    classes: dict[str, Any] = {}
    for struct in SPECS[name]:
        kind = type(struct, (TPayload,), {"__module__": module.__name__})
        classes[struct] = kind
        setattr(module, struct, kind)
    for struct, (fields, defaults) in SPECS[name].items():
        spec = {number: _resolve(field, classes) for number, field in fields.items()}
        gen_init(classes[struct], spec, defaults)
    return module


def _resolve(spec: Any, classes: dict[str, Any]) -> Any:
    """Replace the names of structs in a field specification with their classes.

    A specification also contains the name of the field. It cannot be mistaken for a
    struct, because only names of structs start with a capital letter.
    """
    if isinstance(spec, tuple):
        return tuple(_resolve(part, classes) for part in spec)
    return classes.get(spec, spec)


def encode(struct: Any) -> bytes:
    """Serialize a thrift struct with the binary protocol.

    Parameters
    ----------
    struct : object
        Instance of a struct class from `load_structs`.

    Returns
    -------
    bytes
        Serialized struct.
    """
    buffer = TMemoryBuffer()
    transport = TCyBufferedTransport(buffer)
    TCyBinaryProtocol(transport, decode_response=False).write_struct(struct)
    transport.flush()
    return buffer.getvalue()


def decode(kind: type[T], data: bytes) -> T:
    """Deserialize a thrift struct.

    Parameters
    ----------
    kind : type
        Struct class from `load_structs`.
    data : bytes
        Output of `encode`.

    Returns
    -------
    object
        Instance of `kind`.

    Raises
    ------
    ProtocolError
        If the bytes are not a valid struct of this class.
    """
    try:
        transport = TCyBufferedTransport(TMemoryBuffer(data))
        return TCyBinaryProtocol(transport).read_struct(kind())
    except Exception as error:
        raise ProtocolError(
            f"message of {len(data)} bytes is not a valid {kind.__name__}: {error}",
            "check that both processes run compatible versions",
        ) from error
