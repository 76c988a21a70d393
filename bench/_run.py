"""Command line of the experiments."""

from __future__ import annotations

import argparse
import json
import pkgutil
import sys
from importlib import import_module
from typing import TYPE_CHECKING

import uvloop

import bench
from bench._experiments import Options, experiments
from geraniumbend.errors import GeraniumbendError

if TYPE_CHECKING:
    from collections.abc import Sequence


def run(arguments: Sequence[str]) -> int:
    """Run one experiment and print its result.

    Parameters
    ----------
    arguments : sequence of str
        Command-line arguments without the program name.

    Returns
    -------
    int
        Exit code: that of the error or of the result, 0 by default.
    """
    for module in pkgutil.iter_modules(bench.__path__):
        if module.name != "__main__":
            import_module(f"bench.{module.name}")
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument("name", choices=experiments.names())
    parser.add_argument("--json", action="store_true", help="print one JSON line")
    parser.add_argument("--seed", type=int, default=Options().seed)
    parser.add_argument("--scale", type=float, default=Options().scale)
    parser.add_argument(
        "--faults", default="", help="comma-separated names, for real_machine"
    )
    parsed = parser.parse_args(arguments)
    names = tuple(name for name in parsed.faults.split(",") if name)
    try:
        result = uvloop.run(
            experiments.get(parsed.name)(Options(parsed.seed, parsed.scale, names))
        )
    except GeraniumbendError as error:
        print(f"error: {error}", file=sys.stderr)
        return error.exit_code
    if parsed.json:
        print(json.dumps(result))
    else:
        for key, value in result.items():
            print(f"{key:28} {value}")
    return int(result.get("exit_code", 0))
