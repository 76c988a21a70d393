"""Generate ``src/geraniumbend/wire/_specs.py`` from the thrift IDL files."""

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
    """Return the specifications of the structs in an IDL file by struct name.

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
            {
                number: _replace_classes(spec)
                for number, spec in struct.thrift_spec.items()
            },
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


def _replace_classes(spec: Any) -> Any:
    """Replace struct classes in a specification with their names."""
    if isinstance(spec, tuple):
        return tuple(map(_replace_classes, spec))
    return spec.__name__ if isinstance(spec, type) else spec


if __name__ == "__main__":
    write_specs()
