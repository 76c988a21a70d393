"""Replicated log with elections and snapshots."""
