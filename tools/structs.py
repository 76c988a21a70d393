"""Write the Python form of the thrift structs, ``src/geraniumbend/wire/_specs.py``."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import thriftpy2

FOLDER = Path(__file__).resolve().parent.parent / "src" / "geraniumbend" / "wire"
HEAD = '''"""Specifications of the thrift structs; made by ``make structs``."""

from __future__ import annotations

from typing import Any

# File, struct, then the field specifications and the default values of thriftpy2; a
# struct type stands as its name.
'''


def read_specs(path: Path) -> dict[str, Any]:
    """Return the specifications of the structs in an IDL file by their name.

    Parameters
    ----------
    path : Path
        IDL file.

    Returns
    -------
    dict of str to tuple
        Field specifications by number, and pairs of field name and default value.
    """
    module = thriftpy2.load(str(path), module_name=f"{path.stem}_thrift")
    structs = module.__thrift_meta__["structs"]
    return {
        struct.__name__: (
            {number: _name(spec) for number, spec in struct.thrift_spec.items()},
            struct.default_spec,
        )
        for struct in structs
    }


def write_specs() -> None:
    """Write the module and format it."""
    specs = {path.stem: read_specs(path) for path in sorted(FOLDER.glob("*.thrift"))}
    target = FOLDER / "_specs.py"
    target.write_text(f"{HEAD}SPECS: dict[str, Any] = {specs!r}\n", encoding="utf-8")
    subprocess.run([sys.executable, "-m", "ruff", "format", str(target)], check=True)


def _name(spec: Any) -> Any:
    """Replace struct classes in a specification by their names."""
    if isinstance(spec, tuple):
        return tuple(map(_name, spec))
    return spec.__name__ if isinstance(spec, type) else spec


if __name__ == "__main__":
    write_specs()
