"""Load generator and experiments, run as ``python -m bench NAME --json``."""
