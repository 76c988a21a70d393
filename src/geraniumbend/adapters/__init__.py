"""Adapters that connect the decision modules to networks and disks."""
