"""Admission control: limits, queues and load shedding per group."""

from __future__ import annotations

from geraniumbend.admission._admission import Admission, AdmissionRequest, Ticket
from geraniumbend.admission._ranking import Ranking
from geraniumbend.admission._sheet_opens import shedding_rank

__all__ = ["Admission", "AdmissionRequest", "Ranking", "Ticket", "shedding_rank"]
