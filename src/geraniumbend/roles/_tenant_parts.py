"""Parts of a gateway that exist while the configuration asks for them."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from geraniumbend.admission import Ranking
from geraniumbend.quotas import QUOTA_METRICS, TenantQuotas, has_quotas

if TYPE_CHECKING:
    from collections.abc import Mapping

    from geraniumbend.admission import Admission
    from geraniumbend.limits import ServerLimits
    from geraniumbend.membership import GatewayShares, Membership
    from geraniumbend.metrics import MetricSet
    from geraniumbend.model import Configuration
    from geraniumbend.proxying import Proxy
    from geraniumbend.routing import ServerTable
    from geraniumbend.settings import Settings
    from geraniumbend.timers import TimerService


class TenantParts:
    """Quotas of tenants, and admission by rank and tenant.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    table : ServerTable
        Members of the groups.
    shares : GatewayShares
        This gateway's share of the demand.
    membership : Membership
        The other gateways.
    limits : ServerLimits
        Limits that servers name.
    admission : Admission
        Admission that uses the ranking.
    timers : TimerService
        Clock.
    metrics : MetricSet
        Metrics of the process.

    Attributes
    ----------
    quotas : TenantQuotas or None
        Quotas; None while no tenant has one.
    ranking : Ranking or None
        Admission by rank and tenant; None while it is off.
    """

    def __init__(
        self,
        settings: Settings,
        table: ServerTable,
        shares: GatewayShares,
        membership: Membership,
        limits: ServerLimits,
        admission: Admission,
        timers: TimerService,
        metrics: MetricSet,
    ) -> None:
        self.quotas: TenantQuotas | None = None
        self.ranking: Ranking | None = None
        self._settings = settings
        self._table = table
        self._shares = shares
        self._membership = membership
        self._limits = limits
        self._admission = admission
        self._timers = timers
        self._metrics = metrics
        self._proxy: Proxy | None = None
        self._quota_metrics_declared = False
        self._declare_ranking_metrics(metrics)

    def set_proxy(self, proxy: Proxy) -> None:
        """Set the proxy that counts requests against the quotas."""
        self._proxy = proxy

    def find_ranking(self) -> Ranking | None:
        """Return the admission by rank and tenant, None while it is off."""
        return self.ranking

    def update(self, configuration: Configuration) -> None:
        """Build or end the parts as the active configuration asks for them."""
        ranks = self._settings.gateway.rank_requests or bool(configuration.tenants)
        self.set_ranking(ranks)
        self._update_quotas(configuration)

    def stop(self) -> None:
        """End the parts."""
        if self.quotas is not None:
            self.quotas.stop()
        self.set_ranking(False)

    def dump(self) -> dict[str, Any]:
        """Return the state of the parts that exist, for operators."""
        state: dict[str, Any] = {}
        if self.ranking is not None:
            state["ranking"] = self.ranking.dump()
        if self.quotas is not None:
            state["quotas"] = self.quotas.dump()
        return state

    def set_ranking(self, is_wanted: bool) -> None:
        """Turn the admission by rank and tenant on or off."""
        if is_wanted and self.ranking is None:
            self.ranking = Ranking(
                self._table,
                self._shares,
                self._membership,
                self._timers,
                is_limited=self._limits.is_limited,
            )
            self.ranking.start()
        elif not is_wanted and self.ranking is not None:
            self.ranking.stop()
            self.ranking = None
        self._admission.set_ranking(self.ranking)

    def _update_quotas(self, configuration: Configuration) -> None:
        """Keep quotas while the configuration has a tenant with a rate."""
        assert self._proxy is not None
        if not has_quotas(configuration):
            if self.quotas is not None:
                self._proxy.set_quotas(None)
                self.quotas.stop()
                self.quotas = None
            return
        if self.quotas is None:
            self.quotas = TenantQuotas.from_config(
                self._settings, self._membership, self._timers
            )
            self._declare_quota_metrics()
            self.quotas.start()
            self._proxy.set_quotas(self.quotas)
        self.quotas.update(configuration)

    def _declare_quota_metrics(self) -> None:
        """Declare the metrics of quotas once, when the first tenant has one."""
        if self._quota_metrics_declared:
            return
        self._quota_metrics_declared = True
        for name, (description, labels) in QUOTA_METRICS.items():
            self._metrics.declare_gauge(
                name, description, partial(self._read_quota_metric, name), labels
            )

    def _read_quota_metric(self, name: str) -> Mapping[tuple[str, ...], float]:
        return {} if self.quotas is None else self.quotas.read_metrics()[name]

    def _declare_ranking_metrics(self, metrics: MetricSet) -> None:
        metrics.declare_gauge(
            "ranked_requests",
            "Decisions of the admission by rank and tenant since it was turned on.",
            lambda: {} if self.ranking is None else self.ranking.read_counts(),
            ("group", "rank", "action"),
        )
        metrics.declare_gauge(
            "ranked_admitted_share",
            "Share of the offered work that is admitted by rank and tenant.",
            lambda: {} if self.ranking is None else self.ranking.read_shares(),
            ("group",),
        )
