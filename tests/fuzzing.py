"""Settings of all property tests: derandomized, or longer and seeded by make fuzz."""

from __future__ import annotations

import os

from hypothesis import core, settings

# Multiplies the number of examples in CI; 0 runs the derandomized examples of CI.
FACTOR = int(os.environ.get("GERANIUMBEND_FUZZ", "0"))
if FACTOR:
    core.global_force_seed = int(os.environ["GERANIUMBEND_FUZZ_SEED"])


def fuzz(max_examples, **options):
    """Return the settings of a property test that runs max_examples in CI."""
    return settings(
        derandomize=not FACTOR,
        max_examples=max_examples * max(1, FACTOR),
        deadline=None,
        print_blob=True,
        **options,
    )
