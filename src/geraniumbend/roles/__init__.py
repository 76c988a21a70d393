"""Processes assembled from settings."""
