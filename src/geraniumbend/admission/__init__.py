"""Admission of requests under overload."""

from __future__ import annotations

from geraniumbend.admission._admission import Admission, AdmissionRequest, Ticket
from geraniumbend.admission._ranks import rank_open

__all__ = ["Admission", "AdmissionRequest", "Ticket", "rank_open"]
