"""Build the one-file program ``dist/geraniumbend``."""

from __future__ import annotations

import hashlib
import shutil
import struct
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAGIC = b"GBNDPKG1"
# Optional dependencies that the import analysis finds but the program never uses.
EXCLUDED = ("hypothesis", "matplotlib", "numpy", "PIL", "setuptools", "tkinter")
ENTRY_HEADER = struct.Struct("<IIQ")


def collect_program(work: Path) -> Path:
    """Collect interpreter, libraries and modules into one folder.

    Parameters
    ----------
    work : Path
        Folder for intermediate files.

    Returns
    -------
    Path
        Folder that holds the executable and its libraries.
    """
    entry = work / "geraniumbend_entry.py"
    entry.write_text("from geraniumbend.__main__ import main\n\nmain()\n")
    command = [
        *(sys.executable, "-m", "PyInstaller", "--noconfirm", "--onedir", "--clean"),
        *("--name", "geraniumbend", "--paths", str(ROOT / "src")),
        *("--distpath", str(work / "dist"), "--workpath", str(work / "build")),
        *("--specpath", str(work), "--collect-submodules", "geraniumbend"),
        *("--add-data", f"{ROOT / 'src/geraniumbend/wire'}/*.thrift:geraniumbend/wire"),
        *("--collect-submodules", "sanic", "--collect-data", "sanic"),
        *("--collect-data", "tracerite", "--collect-data", "html5tagger"),
        *(
            "--collect-submodules",
            "thriftpy2",
            "--collect-submodules",
            "rich._unicode_data",
        ),
        *("--copy-metadata", "cyclopts"),
        *(word for name in EXCLUDED for word in ("--exclude-module", name)),
        *("--log-level", "WARN", str(entry)),
    ]
    subprocess.run(command, check=True, cwd=work)
    return work / "dist" / "geraniumbend"


def pack_folder(folder: Path) -> bytes:
    """Return the archive of a folder in the format that the launcher reads.

    Parameters
    ----------
    folder : Path
        Folder to pack; symbolic links are stored as the files they point to.

    Returns
    -------
    bytes
        Archive.
    """
    parts: list[bytes] = []
    for path in sorted(folder.rglob("*")):
        if path.is_dir():
            continue
        name = str(path.relative_to(folder)).encode()
        content = path.read_bytes()
        mode = path.stat().st_mode & 0o700
        parts += [ENTRY_HEADER.pack(mode, len(name), len(content)), name, content]
    return b"".join(parts)


def build(target: Path) -> None:
    """Write the one-file program.

    Parameters
    ----------
    target : Path
        File to write.
    """
    work = ROOT / "build" / "binary"
    shutil.rmtree(work, ignore_errors=True)
    work.mkdir(parents=True)
    launcher = work / "launcher"
    source = ROOT / "tools" / "launcher.c"
    subprocess.run(
        ["gcc", "-O2", "-Wall", "-Werror", "-o", str(launcher), str(source)], check=True
    )
    archive = pack_folder(collect_program(work))
    code = launcher.read_bytes()
    digest = hashlib.sha256(archive).hexdigest().encode()
    target.parent.mkdir(parents=True, exist_ok=True)
    trailer = MAGIC + struct.pack("<Q", len(code)) + digest
    target.write_bytes(code + archive + trailer)
    target.chmod(0o755)
    print(f"{target}: {target.stat().st_size / 1e6:.1f} MB")


if __name__ == "__main__":
    build(Path(sys.argv[1]) if len(sys.argv) > 1 else ROOT / "dist" / "geraniumbend")
