"""Descriptors of the standard streams."""

from __future__ import annotations

import os

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_standard_descriptors() -> None:
    """Open the null device for each standard stream that is closed.

    Otherwise sockets get these numbers. libuv ends the process when it closes one of
    them, and what is written to a standard stream would go to a peer.
    """
    for number in STANDARD_DESCRIPTORS:
        try:
            os.fstat(number)
        except OSError:
            # The system returns the lowest free number.
            os.open(os.devnull, os.O_RDWR)
