from __future__ import annotations

from functools import cache
from importlib import resources
from typing import Any, TypeVar

import thriftpy2
from thriftpy2.protocol.cybin import TCyBinaryProtocol  # type: ignore[attr-defined]
from thriftpy2.transport import TMemoryBuffer
from thriftpy2.transport.buffered import TCyBufferedTransport

from geraniumbend.errors import ProtocolError

T = TypeVar("T")


@cache
def load_structs(name: str = "geraniumbend") -> Any:
    """Load the structs of an IDL file of this package.

    Parameters
    ----------
    name : str, default="geraniumbend"
        File name without the ``.thrift`` suffix.

    Returns
    -------
    module
        Module whose attributes are the struct classes.
    """
    path = resources.files("geraniumbend.wire").joinpath(f"{name}.thrift")
    with resources.as_file(path) as file:
        return thriftpy2.load(str(file), module_name=f"{name}_thrift")


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
