"""Entry point of the program."""

from __future__ import annotations

import sys

from geraniumbend.run import run


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
