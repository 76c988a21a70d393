"""Configuration changes and reads at a control host."""

from __future__ import annotations

import asyncio
import time
import uuid
import zlib
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

import msgspec
import xxhash

from geraniumbend.configuration._leader_relay import LeaderRelay
from geraniumbend.configuration._operations import (
    SetEvacuation,
    apply_operations,
    describe_configuration,
    describe_operation,
    encode_operations,
)
from geraniumbend.configuration._operator_files import (
    FileContent,
    plan_operations,
    plan_replacement,
)
from geraniumbend.configuration._store import parse_backup
from geraniumbend.configuration._subscriptions import Subscriptions
from geraniumbend.configuration._validation import validate_operations
from geraniumbend.errors import ConfigurationError, ConflictError, UnavailableError
from geraniumbend.logs import declare_event, log_event
from geraniumbend.model import Configuration
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence

    from geraniumbend.adapters.rpc import RpcServer
    from geraniumbend.configuration._operations import Operation
    from geraniumbend.configuration._store import ConfigurationStore
    from geraniumbend.ports import Log, RpcCaller
    from geraniumbend.timers import TimerService

CONFIRM_TIMEOUT_S = 2.0
REVISION_CHECK_PERIOD_S = 0.05
# Revision on which no change can be based; a change with it reads what is in force.
NO_REVISION = -1
# Changes of others that one call of an evacuation gives way to.
MAX_CONFLICTS = 10

declare_event(
    611,
    "evacuation_changed",
    "info",
    "The beginning or end of the evacuation of a failure domain is committed; repeated "
    "tells that the domain was in that state already.",
)
declare_event(
    610, "change_accepted", "info", "A change of the configuration was accepted."
)


class Member(Protocol):
    """Attributes of a cluster member that the configuration service reads."""

    @property
    def name(self) -> str:
        """Name of the process."""
        ...

    @property
    def role(self) -> str:
        """Role, ``gateway`` or ``control``."""
        ...

    @property
    def address(self) -> str:
        """Peer address as ``ip:port``."""
        ...

    @property
    def revision(self) -> int:
        """Configuration revision that the member uses."""
        ...


class Members(Protocol):
    """Methods of `membership.Membership` that the configuration service calls."""

    def members(self) -> Sequence[Member]:
        """Return the live members."""
        ...


class ChangeConflictError(ConflictError):
    """Another change was accepted first; carries the values in force.

    Parameters
    ----------
    message, remedy, current_revision
        See `ConflictError`.
    current : dict
        Values in force of everything that the refused change would modify.
    """

    def __init__(
        self, message: str, remedy: str, current_revision: int, current: dict[str, Any]
    ) -> None:
        super().__init__(message, remedy, current_revision)
        self.current = current


class ChangeOutcome(NamedTuple):
    """Outcome of an accepted change.

    Parameters
    ----------
    revision : int
        Revision created by the change.
    change_id : str
        Id of the change.
    repeated : bool
        Whether an earlier request with the same id was already accepted.
    """

    revision: int
    change_id: str
    repeated: bool


class ConfigurationService:
    """Accepts changes at any control host and serves subscribers.

    Parameters
    ----------
    log : Log
        Replica of the configuration log.
    store : ConfigurationStore
        State machine of the log.
    membership : Members
        Live cluster members and the revisions that they use.
    timers : TimerService
        Source of time.
    clients : RpcCaller
        RPC client for other control hosts.
    policies : collection of str
        Names of the known routing policies.
    clock : callable, default=time.time
        Unix time in seconds for the history and the age of recorded outcomes; whether
        a change is accepted does not depend on it.
    """

    def __init__(
        self,
        log: Log,
        store: ConfigurationStore,
        membership: Members,
        timers: TimerService,
        clients: RpcCaller,
        policies: Collection[str],
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.store = store
        self._relay = LeaderRelay(log, store, clients, timers, self._list_control_hosts)
        self._subscriptions = Subscriptions(self._relay, store, timers)
        self._membership = membership
        self._timers = timers
        self._policies = policies
        self._clock = clock
        self._bootstrap: asyncio.Task[bytes] | None = None

    def register(self, server: RpcServer) -> None:
        """Register the RPC methods for subscribers and other control hosts."""
        self._relay.register(server)
        self._subscriptions.register(server)

    def start(self) -> None:
        """Start background checks."""
        self._subscriptions.start()

    def stop(self) -> None:
        """Stop background checks."""
        self._subscriptions.stop()

    async def apply(
        self,
        operations: Sequence[Operation],
        expected_revision: int,
        change_id: str,
        operator: str,
    ) -> ChangeOutcome:
        """Apply all operations of a change, or none.

        Parameters
        ----------
        operations : sequence of Operation
            Operations in order.
        expected_revision : int
            Revision that the change is based on.
        change_id : str
            UUID chosen by the client; a resent change has the same one.
        operator : str
            Name of the operator's token.

        Returns
        -------
        ChangeOutcome
            Outcome of the first request with this id.

        Raises
        ------
        ConfigurationError
            If the change is invalid.
        ChangeConflictError
            If a revision other than the expected one is in force.
        UnavailableError
            If the outcome is unknown.
        """
        validate_operations(operations, self._policies)
        described = [describe_operation(step) for step in operations]
        digest = _digest([expected_revision, described])
        return await self._propose_change(
            operations, expected_revision, change_id, operator, digest
        )

    async def apply_file(
        self,
        content: FileContent,
        prune: bool,
        change_id: str,
        operator: str,
        expected_revision: int | None = None,
    ) -> ChangeOutcome:
        """Change the configuration in force to match an operator's file.

        Parameters
        ----------
        content : FileContent
            Parsed file.
        prune : bool
            Whether to delete entries that are missing from the file.
        change_id : str
            UUID chosen by the client.
        operator : str
            Name of the operator's token.
        expected_revision : int or None, default=None
            Revision that the change is based on; the one in force when None.

        Returns
        -------
        ChangeOutcome
            Outcome; has the revision in force when nothing differs.

        Raises
        ------
        GeraniumbendError
            As in `apply`.
        """
        # The digest must not depend on the configuration in force, so that a file that
        # is resent after other changes is recognized.
        from_empty = plan_operations(content, Configuration())
        digest = _digest(
            [
                expected_revision,
                prune,
                [describe_operation(step) for step in from_empty],
            ]
        )
        await self.confirm()
        steps = plan_operations(content, self.store.current, prune)
        revision = self.store.current.revision
        if expected_revision is not None:
            revision = expected_revision
        if not steps and not self.store.has_outcome(change_id):
            return ChangeOutcome(revision, change_id, False)
        if steps:
            validate_operations(steps, self._policies)
        return await self._propose_change(steps, revision, change_id, operator, digest)

    async def restore(
        self, document: dict[str, Any], change_id: str, operator: str
    ) -> ChangeOutcome:
        """Restore a backup into an empty cluster.

        Parameters
        ----------
        document : dict
            Output of `ConfigurationStore.backup`.
        change_id : str
            UUID chosen by the client.
        operator : str
            Name of the operator's token.

        Returns
        -------
        ChangeOutcome
            Outcome; its revision is above all revisions of the lost cluster.

        Raises
        ------
        ConfigurationError
            If the document is not a backup.
        ChangeConflictError
            If the cluster is not empty.
        """
        try:
            parse_backup(document)
        except (KeyError, TypeError, AttributeError) as error:
            raise ConfigurationError(
                f"the document is not a valid backup: {error!r}",
                "use the output of geraniumbend backup",
            ) from error
        data = msgspec.json.encode(document)
        structs = load_structs("configuration")
        restoration = structs.Restoration(
            change_id=_normalize_change_id(change_id),
            document=data,
            operator=operator,
            time_ms=int(self._clock() * 1000),
            digest=_digest(document),
        )
        return await self._propose(structs.Command(restoration=restoration), change_id)

    async def replace(
        self, configuration: Configuration, source: bytes, operator: str
    ) -> ChangeOutcome:
        """Replace the whole configuration by one with the operator's version number.

        Parameters
        ----------
        configuration : Configuration
            Groups, rules, limits and the operator's version.
        source : bytes
            Configuration as sent by the operator; `read_source` returns it.
        operator : str
            Name of the operator in the history.

        Returns
        -------
        ChangeOutcome
            Outcome; `repeated` if the version in force is equal or higher.

        Raises
        ------
        ConfigurationError
            If the configuration is invalid.
        UnavailableError
            If the outcome is unknown.
        """
        empty = Configuration()
        steps = plan_replacement(configuration, empty)
        validate_operations(steps, self._policies)
        apply_operations(empty, steps, 1)
        structs = load_structs("configuration")
        document = msgspec.json.encode(describe_configuration(configuration))
        replacement = structs.Replacement(
            version=configuration.version,
            document=zlib.compress(document),
            source=zlib.compress(source),
            operator=operator,
            time_ms=int(self._clock() * 1000),
        )
        change_id = f"version {configuration.version}"
        return await self._propose(structs.Command(replacement=replacement), change_id)

    async def evacuate(self, domain: str, active: bool, operator: str) -> ChangeOutcome:
        """Begin or end the evacuation of a failure domain.

        Parameters
        ----------
        domain : str
            Failure domain.
        active : bool
            Whether the evacuation begins; False ends it.
        operator : str
            Name of the operator in the history.

        Returns
        -------
        ChangeOutcome
            Outcome; `repeated` if the domain is in that state already.

        Raises
        ------
        ConfigurationError
            If the name of the domain is invalid.
        UnavailableError
            If the outcome is unknown; the call may be repeated.
        """
        step = SetEvacuation(domain, active)
        validate_operations([step], self._policies)
        outcome = await self._apply_evacuation(step, operator)
        log_event(
            611,
            domain=domain,
            active=active,
            operator=operator,
            revision=outcome.revision,
            repeated=outcome.repeated,
        )
        return outcome

    async def read_source(self) -> bytes:
        """Return the last whole configuration as the operator sent it.

        Raises
        ------
        UnavailableError
            If the newest revision cannot be confirmed.
        """
        await self.confirm()
        return self.store.read_source()

    async def bootstrap(self, cluster_id: str, order_shards: int) -> None:
        """Set id and number of order shards of a cluster that has no id yet.

        Calls while the command waits for its commit share its result.
        """
        if self._bootstrap is None or self._bootstrap.done():
            structs = load_structs("configuration")
            founding = structs.Founding(
                cluster_id=cluster_id, order_shards=order_shards
            )
            command = encode(structs.Command(founding=founding))
            self._bootstrap = asyncio.ensure_future(self._relay.propose(command))
        await asyncio.shield(self._bootstrap)

    async def confirm(self) -> int:
        """Wait until this host has applied every change accepted before the call.

        Returns
        -------
        int
            Revision in force.

        Raises
        ------
        UnavailableError
            If no majority responds, or this host does not catch up in time.
        """
        revision = await self._relay.confirm(CONFIRM_TIMEOUT_S)
        deadline = self._timers.now() + CONFIRM_TIMEOUT_S
        while self.store.current.revision < revision:
            if self._timers.now() >= deadline:
                raise UnavailableError(
                    f"this control host has not reached revision {revision}",
                    "send the request to another control host",
                )
            await self._timers.sleep(REVISION_CHECK_PERIOD_S)
        return self.store.current.revision

    async def wait_in_force(self, revision: int, timeout_s: float) -> list[str]:
        """Wait until all live gateways use a revision.

        Parameters
        ----------
        revision : int
            Revision to wait for.
        timeout_s : float
            Time limit in seconds.

        Returns
        -------
        list of str
            Live gateways with an older revision at the end; empty if there are none.
        """
        deadline = self._timers.now() + timeout_s
        while True:
            missing = sorted(
                member.name
                for member in self._membership.members()
                if member.role == "gateway" and member.revision < revision
            )
            if not missing or self._timers.now() >= deadline:
                return missing
            await self._timers.sleep(REVISION_CHECK_PERIOD_S)

    def _list_control_hosts(self) -> list[str]:
        """Return the peer addresses of the live control hosts."""
        members = self._membership.members()
        return [member.address for member in members if member.role == "control"]

    def has_majority_contact(self) -> bool:
        """Return whether this host recently held every change a majority accepted."""
        return self._subscriptions.has_majority_contact

    async def wait_for_change(self, known_revision: int, limit_s: float) -> None:
        """Wait for a newer revision; see `Subscriptions.wait_for_change`."""
        await self._subscriptions.wait_for_change(known_revision, limit_s)

    def dump(self) -> dict[str, Any]:
        """Return the state for the state dump."""
        return {
            **self.store.dump(),
            "in_touch": self._subscriptions.has_majority_contact,
        }

    async def _apply_evacuation(
        self, step: SetEvacuation, operator: str
    ) -> ChangeOutcome:
        """Apply a step unless its domain is in that state already.

        The step is based on a revision. So a copy of it that arrives later, after other
        changes, has no effect.
        """
        kind, name = step.target()
        current = self.store.current
        is_done = (step.domain in current.evacuated) == step.active
        revision = NO_REVISION if is_done else current.revision
        for _ in range(MAX_CONFLICTS):
            change_id = str(uuid.uuid4())
            digest = _digest([revision, describe_operation(step)])
            try:
                return await self._propose_change(
                    [step], revision, change_id, operator, digest
                )
            except ChangeConflictError as error:
                if error.current[f"{kind} {name}"]["active"] == step.active:
                    return ChangeOutcome(error.current_revision, change_id, True)
                revision = error.current_revision
        raise UnavailableError(
            f"the configuration changed {MAX_CONFLICTS} times during the call",
            "send the call again",
        )

    async def _propose_change(
        self,
        operations: Sequence[Operation],
        expected_revision: int,
        change_id: str,
        operator: str,
        digest: str,
    ) -> ChangeOutcome:
        structs = load_structs("configuration")
        change = structs.Change(
            change_id=_normalize_change_id(change_id),
            expected_revision=expected_revision,
            operations=encode_operations(operations),
            operator=operator,
            time_ms=int(self._clock() * 1000),
            digest=digest,
        )
        return await self._propose(structs.Command(change=change), change_id)

    async def _propose(self, command: Any, change_id: str) -> ChangeOutcome:
        result = await self._relay.propose(encode(command))
        outcome = decode(load_structs("configuration").Outcome, result)
        if outcome.state == "invalid":
            raise ConfigurationError(outcome.message, outcome.remedy)
        if outcome.state == "conflict":
            current = msgspec.json.decode(outcome.current or b"{}")
            raise ChangeConflictError(
                outcome.message, outcome.remedy, outcome.revision, current
            )
        log_event(610, revision=outcome.revision, change_id=change_id)
        return ChangeOutcome(outcome.revision, change_id, outcome.repeated)


def _normalize_change_id(change_id: str) -> str:
    try:
        return str(uuid.UUID(change_id))
    except ValueError as error:
        raise ConfigurationError(
            f"change id {change_id!r} is not a UUID", "send a new random UUID"
        ) from error


def _digest(value: Any) -> str:
    return xxhash.xxh3_128_hexdigest(msgspec.json.encode(value, order="sorted"))
