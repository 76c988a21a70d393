from __future__ import annotations

from functools import cache
from types import ModuleType
from typing import Any, TypeVar

from thriftpy2.protocol.cybin import TCyBinaryProtocol  # type: ignore[attr-defined]
from thriftpy2.thrift import TPayload, gen_init
from thriftpy2.transport import TMemoryBuffer
from thriftpy2.transport.buffered import TCyBufferedTransport

from geraniumbend.errors import ProtocolError
from geraniumbend.wire._specs import SPECS

T = TypeVar("T")


@cache
def load_structs(name: str = "geraniumbend") -> Any:
    """Return the structs of an IDL file of this package.

    The classes are built from specifications that are made ahead (`make structs`),
    because parsing the IDL files takes a fifth of a second at each start.

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
    known: dict[str, Any] = {}
    for struct in SPECS[name]:
        kind = type(struct, (TPayload,), {"__module__": module.__name__})
        known[struct] = kind
        setattr(module, struct, kind)
    for struct, (fields, defaults) in SPECS[name].items():
        spec = {number: _resolve(field, known) for number, field in fields.items()}
        gen_init(known[struct], spec, defaults)
    return module


def _resolve(spec: Any, known: dict[str, Any]) -> Any:
    """Replace the names of structs by their classes.

    A field starts with its type; the name of the field is no struct's name, since
    structs are written in capitals.
    """
    if isinstance(spec, tuple):
        return tuple(_resolve(part, known) for part in spec)
    return known.get(spec, spec)


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
        If the bytes are no such struct.
    """
    try:
        transport = TCyBufferedTransport(TMemoryBuffer(data))
        return TCyBinaryProtocol(transport).read_struct(kind())
    except Exception as error:
        raise ProtocolError(
            f"message of {len(data)} bytes is no {kind.__name__}: {error}",
            "check that both processes run compatible versions",
        ) from error
