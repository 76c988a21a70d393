"""Gossip, failure detection and announcements."""
