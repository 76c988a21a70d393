"""Load and experiment tool, run as ``python -m bench NAME --json``."""
