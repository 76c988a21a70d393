"""Choice of the peers of a gossip round."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from geraniumbend.membership._records import (
    DOMAIN_SCOPE_NODES,
    DOMAIN_SCOPED_KINDS,
    LOAD,
)

if TYPE_CHECKING:
    import random

    from geraniumbend.membership._members import Member, MemberTable

# Peers of the own failure domain that get the changes of one gossip round.
FANOUT = 3
# Mean number of messages that the nodes of one failure domain together send to other
# domains in one gossip round. Each domain that a change reaches sends it on in the same
# way, so a lost message or node delays a change but does not stop it.
REMOTE_MESSAGES = 4.0
# Nodes of each other failure domain to which a sum of this domain is sent.
SUM_COPIES = 2
# Share of failure detector probes and anti-entropy rounds with another domain.
REMOTE_SHARE = 0.25


class GossipTarget(NamedTuple):
    """A peer that gets the changes of a gossip round.

    Parameters
    ----------
    address : str
        Peer address as ``ip:port``.
    is_local : bool
        Whether it is in this node's failure domain.
    """

    address: str
    is_local: bool


class GossipPeers:
    """Chooses the peers that a node exchanges messages with.

    Most messages stay in the failure domain of the node, because bandwidth between
    domains is scarce and its use would grow with the square of their number. Every node
    also contacts other domains now and then, chosen at random, so no node has a special
    role whose loss would matter.

    Parameters
    ----------
    members : MemberTable
        States of the processes.
    failure_domain : str
        Failure domain of this node.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self, members: MemberTable, failure_domain: str, rng: random.Random
    ) -> None:
        self._members = members
        self._failure_domain = failure_domain
        self._rng = rng
        self._live: list[Member] = []
        self._local: list[Member] = []
        self._remote: list[Member] = []

    def list_addresses(self) -> list[str]:
        """Return the addresses of all live peers."""
        return [member.address for member in self._members.live()]

    def list_local(self) -> list[Member]:
        """Return the live peers in this node's failure domain."""
        self._update()
        return self._local

    def list_remote(self) -> list[Member]:
        """Return the live peers in other failure domains."""
        self._update()
        return self._remote

    def is_local_address(self, address: str) -> bool:
        """Return whether a peer address is in this node's failure domain."""
        return self._members.find_domain(address) == self._failure_domain

    def is_domain_scoped(self, kind: str) -> bool:
        """Return whether records of a kind are sent only within a failure domain.

        Announced loads of backend servers leave the domain in small clusters, where
        they cost little.
        """
        if kind == LOAD:
            return len(self._members.live()) >= DOMAIN_SCOPE_NODES
        return kind in DOMAIN_SCOPED_KINDS

    def count_ephemeral_peers(self) -> int:
        """Return how many peers get the announced loads and demand of this node."""
        if self.is_domain_scoped(LOAD):
            return len(self.list_local())
        return len(self._members.live())

    def choose_round(self) -> list[GossipTarget]:
        """Choose the peers of one gossip round.

        Returns
        -------
        list of GossipTarget
            Up to `FANOUT` peers of the own domain and at times one of another domain.
        """
        local = self.list_local()
        remote = self.list_remote()
        chosen = self._rng.sample(local, min(FANOUT, len(local)))
        targets = [GossipTarget(member.address, True) for member in chosen]
        if remote and self._rng.random() < REMOTE_MESSAGES / (len(local) + 1):
            targets.append(GossipTarget(self._rng.choice(remote).address, False))
        return targets

    def choose_first_targets(self) -> list[GossipTarget]:
        """Choose the peers that get a change of this node at once.

        Returns
        -------
        list of GossipTarget
            Up to `FANOUT` peers of any domain, so that the change starts to spread in
            several domains at the same time.
        """
        live = self._members.live()
        return [
            GossipTarget(member.address, member.failure_domain == self._failure_domain)
            for member in self._rng.sample(live, min(FANOUT, len(live)))
        ]

    def choose_per_domain(self) -> list[str]:
        """Choose the addresses of up to `SUM_COPIES` peers of each other domain."""
        domains: dict[str, list[Member]] = {}
        for member in self.list_remote():
            domains.setdefault(member.failure_domain, []).append(member)
        return [
            member.address
            for members in domains.values()
            for member in self._rng.sample(members, min(SUM_COPIES, len(members)))
        ]

    def choose_sync_peer(self) -> str | None:
        """Choose the address of a peer for anti-entropy; None without live peers."""
        local = self.list_local()
        remote = self.list_remote()
        if local and (not remote or self._rng.random() >= REMOTE_SHARE):
            return self._rng.choice(local).address
        return self._rng.choice(remote).address if remote else None

    def _update(self) -> None:
        """Divide the live members by domain again if they have changed."""
        live = self._members.live()
        if live is self._live:
            return
        domain = self._failure_domain
        self._live = live
        self._local = [m for m in live if m.failure_domain == domain]
        self._remote = [m for m in live if m.failure_domain != domain]

    def is_remote_probe_due(self) -> bool:
        """Decide at random whether a probe goes to another failure domain too."""
        return not self.list_local() or self._rng.random() < REMOTE_SHARE
