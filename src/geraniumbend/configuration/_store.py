"""State machine of the configuration log."""

from __future__ import annotations

import base64
import zlib
from collections import OrderedDict, deque
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from geraniumbend.configuration._operations import (
    SetEvacuation,
    apply_operations,
    decode_operations,
    describe_configuration,
    describe_targets,
    encode_operations,
    parse_configuration,
)
from geraniumbend.configuration._operator_files import plan_replacement
from geraniumbend.errors import ConfigurationError, ProtocolError
from geraniumbend.model import Configuration
from geraniumbend.wire import decode, encode, load_structs

if TYPE_CHECKING:
    from collections.abc import Callable

SNAPSHOT_FORMAT = 1
HISTORY_LIMIT = 1000
# Bytes of operations in the history. A subscriber that needs older changes gets the
# whole configuration.
HISTORY_BYTES = 8 * 1024 * 1024
OUTCOME_LIMIT = 10_000
# Limits the values returned with a conflict, because outcomes are recorded and would
# otherwise grow with the size of the change.
MAX_CONFLICT_VALUES = 20
OUTCOME_AGE_MS = 24 * 3600 * 1000
# Revisions of a restored cluster start in a new epoch, above all earlier revisions, so
# that nodes that still hold the configuration of the lost cluster accept them.
EPOCH = 1 << 32


class HistoryEntry(NamedTuple):
    """One accepted change.

    Parameters
    ----------
    revision : int
        Revision created by the change.
    change_id : str
        Id chosen by the client; empty for a replacement.
    operator : str
        Name of the operator's token.
    time_ms : int
        Unix time on the host that proposed the change, in milliseconds.
    operations : bytes
        Operations as JSON.
    """

    revision: int
    change_id: str
    operator: str
    time_ms: int
    operations: bytes


class _Recorded(NamedTuple):
    """Recorded outcome of a change id, and the digest of the request it was for."""

    digest: str
    time_ms: int
    outcome: bytes


def parse_backup(document: dict[str, Any]) -> Configuration:
    """Return the configuration of a backup.

    Parameters
    ----------
    document : dict
        Output of `ConfigurationStore.backup`.

    Returns
    -------
    Configuration
        Configuration with its revision in the lost cluster.
    """
    return parse_configuration(document["configuration"])


class ConfigurationStore:
    """State machine of the configuration log.

    Every replica applies the same commands in the same order and has to reach the same
    state. No code here may therefore read a clock, a setting or a registry that can
    differ between hosts. Messages of outcomes are part of the replicated state.
    """

    def __init__(self) -> None:
        self.current = Configuration()
        self.cluster_id = ""
        self.order_shards = 0
        self.applied_index = 0
        self._source = b""
        self.history: deque[HistoryEntry] = deque(maxlen=HISTORY_LIMIT)
        self._history_bytes = 0
        self._outcomes: OrderedDict[str, _Recorded] = OrderedDict()
        self._time_ms = 0
        self._callbacks: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback for each replacement of the current configuration."""
        self._callbacks.append(callback)

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a committed command; see `StateMachine.apply`.

        Parameters
        ----------
        index : int
            Index of the command in the log.
        command : bytes
            Thrift struct ``Command``.

        Returns
        -------
        bytes
            Thrift struct ``Outcome``.
        """
        self.applied_index = index
        decoded = decode(load_structs("configuration").Command, command)
        if decoded.change is not None:
            return self._apply_once(decoded.change, self._perform_change)
        if decoded.restoration is not None:
            return self._apply_once(decoded.restoration, self._perform_restoration)
        if decoded.founding is not None:
            return self._perform_bootstrap(decoded.founding)
        if decoded.replacement is not None:
            return self._perform_replacement(decoded.replacement)
        if decoded.evacuation is not None:
            return self._perform_evacuation(decoded.evacuation)
        raise ProtocolError(
            f"configuration command {index} is of an unknown kind",
            "run the same version on all control hosts",
        )

    def snapshot(self) -> bytes:
        """Serialize the whole state; equal states give equal bytes."""
        return msgspec.json.encode(
            {
                "format": SNAPSHOT_FORMAT,
                "index": self.applied_index,
                "cluster_id": self.cluster_id,
                "order_shards": self.order_shards,
                "time_ms": self._time_ms,
                "configuration": describe_configuration(self.current),
                "source": base64.b64encode(self._source).decode(),
                "history": [list(entry) for entry in self.history],
                "outcomes": [
                    [change_id, *recorded]
                    for change_id, recorded in self._outcomes.items()
                ],
            }
        )

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot.

        Raises
        ------
        ProtocolError
            If the snapshot has an unknown format.
        """
        state = msgspec.json.decode(data)
        if state.get("format") != SNAPSHOT_FORMAT:
            raise ProtocolError(
                f"configuration snapshot has format {state.get('format')!r}",
                "run the same version on all control hosts",
            )
        self.applied_index = state["index"]
        self.cluster_id = state["cluster_id"]
        self.order_shards = state["order_shards"]
        self._time_ms = state["time_ms"]
        self.current = parse_configuration(state["configuration"])
        self._source = base64.b64decode(state.get("source", ""))
        self.history.clear()
        self._history_bytes = 0
        for entry in msgspec.convert(
            state["history"], list[HistoryEntry], strict=False
        ):
            self._remember(entry)
        self._outcomes.clear()
        for change_id, *recorded in state["outcomes"]:
            self._outcomes[change_id] = msgspec.convert(recorded, _Recorded)
        self._notify()

    def changes_since(self, revision: int) -> list[HistoryEntry] | None:
        """Return the changes after a revision, or None if the history is too short.

        Parameters
        ----------
        revision : int
            Revision that the subscriber holds.

        Returns
        -------
        list of HistoryEntry or None
            Changes in order; empty if the subscriber is up to date or ahead.
        """
        if revision >= self.current.revision:
            return []
        oldest = self.history[0].revision if self.history else 0
        if not self.history or revision < oldest - 1:
            return None
        return [entry for entry in self.history if entry.revision > revision]

    def has_outcome(self, change_id: str) -> bool:
        """Return whether the outcome of a change id is recorded."""
        return change_id in self._outcomes

    def read_source(self) -> bytes:
        """Return the last whole configuration as the operator sent it.

        Returns
        -------
        bytes
            Bytes as sent; empty if there was none.
        """
        return zlib.decompress(self._source) if self._source else b""

    def backup(self) -> dict[str, Any]:
        """Return cluster id, revision and configuration for an operator's backup."""
        return {
            "format": SNAPSHOT_FORMAT,
            "cluster_id": self.cluster_id,
            "configuration": describe_configuration(self.current),
        }

    def dump(self) -> dict[str, Any]:
        """Return counters for the state dump."""
        return {
            "cluster_id": self.cluster_id,
            "revision": self.current.revision,
            "applied_index": self.applied_index,
            "groups": len(self.current.groups),
            "rules": len(self.current.rules),
            "label_overrides": len(self.current.label_overrides),
            "tenants": len(self.current.tenants),
            "evacuated": list(self.current.evacuated),
            "history": len(self.history),
            "recorded_outcomes": len(self._outcomes),
        }

    def _apply_once(self, request: Any, perform: Callable[[Any], Any]) -> bytes:
        """Perform a request, or return the recorded outcome of its change id."""
        self._time_ms = max(self._time_ms, request.time_ms)
        recorded = self._outcomes.get(request.change_id)
        if recorded is None:
            outcome = encode(perform(request))
            self._record_outcome(
                request.change_id, _Recorded(request.digest, self._time_ms, outcome)
            )
            return outcome
        structs = load_structs("configuration")
        if recorded.digest != request.digest:
            return encode(
                structs.Outcome(
                    state="conflict",
                    revision=self.current.revision,
                    message=(
                        f"change id {request.change_id!r} belongs to another change"
                    ),
                    remedy="send each change with its own new id",
                )
            )
        first = decode(structs.Outcome, recorded.outcome)
        first.repeated = True
        return encode(first)

    def _record_outcome(self, change_id: str, recorded: _Recorded) -> None:
        """Record an outcome; discard old ones beyond the count or the age limit."""
        self._outcomes[change_id] = recorded
        oldest_ms = self._time_ms - OUTCOME_AGE_MS
        while self._outcomes:
            first = next(iter(self._outcomes.values()))
            if len(self._outcomes) <= OUTCOME_LIMIT and first.time_ms >= oldest_ms:
                break
            self._outcomes.popitem(last=False)

    def _perform_change(self, change: Any) -> Any:
        structs = load_structs("configuration")
        operations = decode_operations(change.operations)
        revision = self.current.revision
        if change.expected_revision != revision:
            return structs.Outcome(
                state="conflict",
                revision=revision,
                message=(
                    f"the change expects revision {change.expected_revision}, "
                    f"but revision {revision} is in force"
                ),
                remedy="look at the current values and send the change again",
                current=msgspec.json.encode(
                    describe_targets(self.current, operations[:MAX_CONFLICT_VALUES])
                ),
            )
        try:
            changed = apply_operations(self.current, operations, revision + 1)
        except ConfigurationError as error:
            return structs.Outcome(
                state="invalid",
                revision=revision,
                message=error.message,
                remedy=error.remedy,
            )
        self._install(changed, change, change.operations)
        return structs.Outcome(state="applied", revision=changed.revision)

    def _perform_restoration(self, restoration: Any) -> Any:
        structs = load_structs("configuration")
        if self.current.revision != 0:
            return structs.Outcome(
                state="conflict",
                revision=self.current.revision,
                message="a backup can only be restored into an empty cluster",
                remedy="start new control hosts with empty data folders",
            )
        saved = parse_backup(msgspec.json.decode(restoration.document))
        revision = (saved.revision // EPOCH + 1) * EPOCH
        self._install(saved._replace(revision=revision), restoration, b"[]")
        return structs.Outcome(state="applied", revision=revision)

    def _perform_bootstrap(self, founding: Any) -> bytes:
        if not self.cluster_id:
            self.cluster_id = founding.cluster_id
            self.order_shards = founding.order_shards
        return encode(
            load_structs("configuration").Outcome(revision=self.current.revision)
        )

    def _perform_replacement(self, replacement: Any) -> bytes:
        """Install a whole configuration if its version is above the one in force.

        A resent replacement, or one superseded by a higher version, is acknowledged
        without effect. This includes different content with the version in force.
        """
        structs = load_structs("configuration")
        if replacement.version <= self.current.version:
            return encode(
                structs.Outcome(revision=self.current.revision, repeated=True)
            )
        target = parse_configuration(
            msgspec.json.decode(zlib.decompress(replacement.document))
        )
        steps = plan_replacement(
            target._replace(version=replacement.version), self.current
        )
        changed = apply_operations(self.current, steps, self.current.revision + 1)
        self._time_ms = max(self._time_ms, replacement.time_ms)
        self._source = replacement.source
        entry = HistoryEntry(
            changed.revision,
            "",
            replacement.operator,
            self._time_ms,
            encode_operations(steps),
        )
        self._set_current(changed, entry)
        return encode(structs.Outcome(revision=changed.revision))

    def _perform_evacuation(self, evacuation: Any) -> bytes:
        """Begin or end an evacuation; one that has no effect creates no revision."""
        structs = load_structs("configuration")
        if (evacuation.domain in self.current.evacuated) == bool(evacuation.active):
            return encode(
                structs.Outcome(revision=self.current.revision, repeated=True)
            )
        step = SetEvacuation(evacuation.domain, bool(evacuation.active))
        changed = apply_operations(self.current, [step], self.current.revision + 1)
        self._time_ms = max(self._time_ms, evacuation.time_ms)
        entry = HistoryEntry(
            changed.revision,
            "",
            evacuation.operator,
            self._time_ms,
            encode_operations([step]),
        )
        self._set_current(changed, entry)
        return encode(structs.Outcome(revision=changed.revision))

    def _install(self, changed: Configuration, request: Any, operations: bytes) -> None:
        entry = HistoryEntry(
            changed.revision,
            request.change_id,
            request.operator,
            self._time_ms,
            operations,
        )
        self._set_current(changed, entry)

    def _set_current(self, changed: Configuration, entry: HistoryEntry) -> None:
        self._remember(entry)
        self.current = changed
        self._notify()

    def _remember(self, entry: HistoryEntry) -> None:
        """Append to the history; drop the oldest beyond its count or its bytes."""
        if len(self.history) == HISTORY_LIMIT:
            self._history_bytes -= len(self.history.popleft().operations)
        self.history.append(entry)
        self._history_bytes += len(entry.operations)
        while self._history_bytes > HISTORY_BYTES:
            self._history_bytes -= len(self.history.popleft().operations)

    def _notify(self) -> None:
        for callback in self._callbacks:
            callback()
