"""Parts of thriftpy2 that this package uses.

The packages `thriftpy2` and `thriftpy2.protocol` import the parser of IDL files and all
protocols. The processes use neither, and they take 13 ms at each start.
"""

from __future__ import annotations

from geraniumbend._deferred_modules import defer_module

for _name in ("thriftpy2", "thriftpy2.protocol"):
    defer_module(_name)

from thriftpy2.protocol.cybin import (  # type: ignore[attr-defined]  # noqa: E402
    TCyBinaryProtocol,
)
from thriftpy2.thrift import TPayload, gen_init  # noqa: E402
from thriftpy2.transport import TMemoryBuffer  # noqa: E402
from thriftpy2.transport.buffered import TCyBufferedTransport  # noqa: E402

__all__ = [
    "TCyBinaryProtocol",
    "TCyBufferedTransport",
    "TMemoryBuffer",
    "TPayload",
    "gen_init",
]
