"""Replicated configuration and its distribution."""
