"""Handling of one request from start to end."""
