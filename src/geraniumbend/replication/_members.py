"""Member lists of a log."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Iterable


class Member(NamedTuple):
    """A replica in the member list.

    Parameters
    ----------
    name : str
        Node name.
    address : str
        Peer address as ``ip:port``.
    is_voter : bool
        Whether it is a voter; otherwise it is a learner.
    promote : bool
        Whether the leader makes this learner a voter once it has caught up.
    incarnation : int
        Identity of the disk whose votes and acknowledgements count. A replica that
        lost its log draws a new one.
    """

    name: str
    address: str
    is_voter: bool
    promote: bool = False
    incarnation: int = 0


class MemberSet(NamedTuple):
    """Member list of a log at one index.

    Parameters
    ----------
    cluster_id : str
        Identity of the cluster; empty until the first leader draws one.
    epoch : int
        Number of restores from a backup that led to this cluster.
    members : tuple of Member
        Members ordered by name.
    """

    cluster_id: str = ""
    epoch: int = 0
    members: tuple[Member, ...] = ()

    def get(self, name: str) -> Member | None:
        """Return the member with a name, or None."""
        for member in self.members:
            if member.name == name:
                return member
        return None

    def voters(self) -> list[Member]:
        """Return the voting members."""
        return [member for member in self.members if member.is_voter]

    def majority(self) -> int:
        """Return how many voters form a majority."""
        return len(self.voters()) // 2 + 1

    def replace(self, member: Member) -> MemberSet:
        """Return the set with one member added or replaced."""
        others = [other for other in self.members if other.name != member.name]
        return self._replace(members=tuple(sorted([*others, member])))

    def without(self, name: str) -> MemberSet:
        """Return the set without one member."""
        kept = tuple(member for member in self.members if member.name != name)
        return self._replace(members=kept)


def initial_members(voters: Iterable[tuple[str, str]]) -> MemberSet:
    """Return the member list of a new log from pairs of name and address."""
    return MemberSet(
        members=tuple(sorted(Member(name, address, True) for name, address in voters))
    )


def members_to_wire(members: MemberSet) -> Any:
    """Return the thrift struct of a member list."""
    structs = load_structs("replication")
    return structs.WireMembers(
        cluster_id=members.cluster_id,
        epoch=members.epoch,
        members=[
            structs.WireMember(
                name=member.name,
                address=member.address,
                voter=member.is_voter,
                promote=member.promote,
                incarnation=member.incarnation,
            )
            for member in members.members
        ],
    )


def members_from_wire(struct: Any) -> MemberSet:
    """Return the member list of a thrift struct."""
    return MemberSet(
        struct.cluster_id or "",
        struct.epoch or 0,
        tuple(
            Member(
                member.name,
                member.address,
                bool(member.voter),
                bool(member.promote),
                member.incarnation or 0,
            )
            for member in struct.members or []
        ),
    )


def encode_members(members: MemberSet) -> bytes:
    """Return the payload of an entry of kind `MEMBERS`."""
    return encode(members_to_wire(members))


def decode_members(data: bytes) -> MemberSet:
    """Return the member list from the payload of an entry of kind `MEMBERS`."""
    return members_from_wire(decode(load_structs("replication").WireMembers, data))
