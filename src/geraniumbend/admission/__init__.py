"""Admission of requests under overload."""
