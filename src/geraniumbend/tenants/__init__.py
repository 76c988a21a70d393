"""Tenants: authentication of callers by key."""

from __future__ import annotations

from geraniumbend.tenants._authentication import Authentication, Authenticator
from geraniumbend.tenants._totals import TenantTotals

__all__ = ["Authentication", "Authenticator", "TenantTotals"]
