"""Refusals of requests above a quota."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

from geraniumbend.caller_waits import spread_return
from geraniumbend.errors import RefusedError

if TYPE_CHECKING:
    import random

    from geraniumbend.model import Tenant

RefusalReason = Literal["used", "late", "silent"]
CAUSES: dict[RefusalReason, str] = {
    "used": "tenant {!r} has used its quota",
    "late": "the allocators of the quota of tenant {!r} answer too late",
    "silent": "no allocator of the quota of tenant {!r} answers",
}
MAX_RETRY_AFTER_S = 30.0


def build_refusal(
    tenant: Tenant,
    reason: RefusalReason,
    wait_s: float,
    rng: random.Random,
) -> RefusedError:
    """Return the refusal of a request.

    Parameters
    ----------
    tenant : Tenant
        Tenant of the request.
    reason : {"used", "late", "silent"}
        Whether the quota is used, or the allocators do not answer in time or at all.
    wait_s : float
        Time until the requests refused lately would have been admitted, in seconds.
    rng : random.Random
        Spreads the returns of the callers.
    """
    wait_s = max(1 / tenant.rate_per_s, wait_s)
    delay_s = spread_return(wait_s, rng.random())
    return RefusedError(
        CAUSES[reason].format(tenant.name),
        "send the request again after the given time",
        status=429,
        kind="quota",
        retry_after_s=min(delay_s, MAX_RETRY_AFTER_S),
        inputs={
            "rate_per_s": tenant.rate_per_s,
            "burst": tenant.burst,
            "wait_s": round(wait_s, 3),
        },
    )
