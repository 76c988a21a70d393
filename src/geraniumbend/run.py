"""Runs the command line and maps errors to exit codes."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING

from geraniumbend.cli import build_application
from geraniumbend.errors import GeraniumbendError

if TYPE_CHECKING:
    from collections.abc import Sequence

USAGE_EXIT_CODE = 2
INTERRUPT_EXIT_CODE = 130


def run(arguments: Sequence[str]) -> int:
    """Run one command.

    Parameters
    ----------
    arguments : sequence of str
        Arguments without the program's name.

    Returns
    -------
    int
        Exit code: 0 on success, 2 on wrong usage, else the code of the error kind.
    """
    from cyclopts import CycloptsError

    application = build_application()
    try:
        result = application(
            list(arguments), exit_on_error=False, result_action="return_value"
        )
    except CycloptsError:
        return USAGE_EXIT_CODE
    except GeraniumbendError as error:
        if os.environ.get("GERANIUMBEND_TRACEBACK"):
            raise
        print(f"error: {error}", file=sys.stderr)
        return error.exit_code
    except KeyboardInterrupt:
        return INTERRUPT_EXIT_CODE
    return result if isinstance(result, int) else 0
