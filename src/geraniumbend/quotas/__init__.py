"""Quotas of tenants, kept by all gateways together."""

from __future__ import annotations

from geraniumbend.quotas._account import QuotaTicket
from geraniumbend.quotas._tenant_quotas import QUOTA_METRICS, TenantQuotas, has_quotas

__all__ = ["QUOTA_METRICS", "QuotaTicket", "TenantQuotas", "has_quotas"]
