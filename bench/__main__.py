"""Entry point of ``python -m bench``."""

from __future__ import annotations

import sys

from bench._run import run

if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
