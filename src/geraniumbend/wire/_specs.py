"""Specifications of the thrift structs; made by ``make structs``."""

from __future__ import annotations

from typing import Any

# File, struct, then the field specifications and the default values of thriftpy2; a
# struct type stands as its name.
SPECS: dict[str, Any] = {
    "configuration": {
        "Change": (
            {
                1: (11, "change_id", False),
                2: (10, "expected_revision", False),
                3: (18, "operations", False),
                4: (11, "operator", False),
                5: (10, "time_ms", False),
                6: (11, "digest", False),
            },
            [
                ("change_id", ""),
                ("expected_revision", 0),
                ("operations", ""),
                ("operator", ""),
                ("time_ms", 0),
                ("digest", ""),
            ],
        ),
        "Founding": (
            {1: (11, "cluster_id", False), 2: (8, "order_shards", False)},
            [("cluster_id", ""), ("order_shards", 1)],
        ),
        "Restoration": (
            {
                1: (11, "change_id", False),
                2: (18, "document", False),
                3: (11, "operator", False),
                4: (10, "time_ms", False),
                5: (11, "digest", False),
            },
            [
                ("change_id", ""),
                ("document", ""),
                ("operator", ""),
                ("time_ms", 0),
                ("digest", ""),
            ],
        ),
        "Replacement": (
            {
                1: (10, "version", False),
                2: (18, "document", False),
                3: (18, "source", False),
                4: (11, "operator", False),
                5: (10, "time_ms", False),
            },
            [
                ("version", 0),
                ("document", ""),
                ("source", ""),
                ("operator", ""),
                ("time_ms", 0),
            ],
        ),
        "Command": (
            {
                1: (12, "change", "Change", False),
                2: (12, "founding", "Founding", False),
                3: (12, "restoration", "Restoration", False),
                4: (12, "replacement", "Replacement", False),
            },
            [
                ("change", None),
                ("founding", None),
                ("restoration", None),
                ("replacement", None),
            ],
        ),
        "Outcome": (
            {
                1: (11, "state", False),
                2: (10, "revision", False),
                3: (11, "message", False),
                4: (11, "remedy", False),
                5: (18, "current", False),
                6: (2, "repeated", False),
            },
            [
                ("state", "applied"),
                ("revision", 0),
                ("message", ""),
                ("remedy", ""),
                ("current", ""),
                ("repeated", False),
            ],
        ),
        "PollRequest": (
            {
                1: (11, "node", False),
                2: (10, "known_revision", False),
                3: (8, "wait_ms", False),
                4: (2, "confirm", False),
                5: (2, "accepts_packed", False),
            },
            [
                ("node", ""),
                ("known_revision", 0),
                ("wait_ms", 0),
                ("confirm", False),
                ("accepts_packed", False),
            ],
        ),
        "AcceptedChange": (
            {1: (10, "revision", False), 2: (18, "operations", False)},
            [("revision", 0), ("operations", "")],
        ),
        "PollResponse": (
            {
                1: (10, "revision", False),
                2: (15, "changes", (12, "AcceptedChange"), False),
                3: (2, "complete", False),
                4: (18, "document", False),
                5: (18, "packed", False),
            },
            [
                ("revision", 0),
                ("changes", []),
                ("complete", False),
                ("document", ""),
                ("packed", ""),
            ],
        ),
        "ConfirmedRevision": (
            {1: (10, "revision", False), 2: (10, "index", False)},
            [("revision", 0), ("index", 0)],
        ),
    },
    "geraniumbend": {
        "RpcMessage": (
            {
                1: (10, "call_id", False),
                2: (11, "method", False),
                3: (18, "body", False),
                4: (11, "error_kind", False),
                5: (11, "error_message", False),
                6: (11, "error_remedy", False),
                7: (11, "error_detail", False),
            },
            [
                ("call_id", None),
                ("method", ""),
                ("body", ""),
                ("error_kind", ""),
                ("error_message", ""),
                ("error_remedy", ""),
                ("error_detail", ""),
            ],
        )
    },
    "membership": {
        "RecordDelta": (
            {
                1: (11, "kind", False),
                2: (11, "owner", False),
                3: (11, "key", False),
                4: (10, "major", False),
                5: (10, "minor", False),
                6: (6, "state", False),
                7: (11, "origin", False),
                8: (18, "value", False),
                9: (8, "lifetime_ms", False),
            },
            [
                ("kind", ""),
                ("owner", ""),
                ("key", ""),
                ("major", 0),
                ("minor", 0),
                ("state", 0),
                ("origin", ""),
                ("value", ""),
                ("lifetime_ms", 0),
            ],
        ),
        "GossipMessage": (
            {
                1: (6, "type", False),
                2: (10, "number", False),
                3: (11, "sender", False),
                4: (11, "target", False),
                5: (11, "target_address", False),
                6: (15, "records", (12, "RecordDelta"), False),
                7: (11, "kind", False),
                8: (18, "value", False),
            },
            [
                ("type", 0),
                ("number", 0),
                ("sender", ""),
                ("target", ""),
                ("target_address", ""),
                ("records", []),
                ("kind", ""),
                ("value", ""),
            ],
        ),
        "MemberValue": (
            {
                1: (11, "role", False),
                2: (11, "address", False),
                3: (11, "failure_domain", False),
            },
            [("role", ""), ("address", ""), ("failure_domain", "")],
        ),
        "ServerValue": (
            {
                1: (11, "host", False),
                2: (8, "port", False),
                3: (11, "failure_domain", False),
                4: (13, "labels", (11, 11), False),
                5: (8, "slots", False),
                6: (8, "connection_limit", False),
                7: (2, "draining", False),
                8: (8, "lease_ms", False),
            },
            [
                ("host", ""),
                ("port", 0),
                ("failure_domain", ""),
                ("labels", {}),
                ("slots", 1),
                ("connection_limit", 220),
                ("draining", False),
                ("lease_ms", 10000),
            ],
        ),
        "LoadValue": (
            {1: (8, "in_flight", False), 2: (8, "slots", False)},
            [("in_flight", 0), ("slots", 1)],
        ),
        "RatesValue": ({1: (13, "rates", (11, 4), False)}, [("rates", {})]),
        "DigestRequest": (
            {
                1: (11, "sender", False),
                2: (18, "digests", False),
                3: (15, "members", (12, "RecordDelta"), False),
            },
            [("sender", ""), ("digests", ""), ("members", [])],
        ),
        "DigestResponse": (
            {
                1: (18, "entries", False),
                2: (2, "complete", False),
                3: (15, "buckets", 8, False),
                4: (2, "accepts_packed", False),
            },
            [
                ("entries", ""),
                ("complete", True),
                ("buckets", []),
                ("accepts_packed", False),
            ],
        ),
        "ExchangeMessage": (
            {
                1: (15, "records", (12, "RecordDelta"), False),
                2: (18, "wanted", False),
                3: (18, "packed_records", False),
                4: (2, "accepts_packed", False),
            },
            [
                ("records", []),
                ("wanted", ""),
                ("packed_records", ""),
                ("accepts_packed", False),
            ],
        ),
        "RecordBatch": (
            {1: (15, "records", (12, "RecordDelta"), False)},
            [("records", [])],
        ),
    },
    "orders": {
        "ClaimOrder": (
            {
                1: (11, "key", False),
                2: (18, "caller", False),
                3: (18, "request", False),
                4: (11, "token", False),
                5: (11, "owner", False),
                6: (10, "lease_ms", False),
            },
            [
                ("key", ""),
                ("caller", ""),
                ("request", ""),
                ("token", ""),
                ("owner", ""),
                ("lease_ms", 0),
            ],
        ),
        "FinishOrder": (
            {
                1: (11, "key", False),
                2: (11, "token", False),
                3: (11, "state", False),
                4: (18, "answer", False),
            },
            [("key", ""), ("token", ""), ("state", ""), ("answer", None)],
        ),
        "AdvanceClock": ({1: (10, "elapsed_ms", False)}, [("elapsed_ms", 0)]),
        "OrderCommand": (
            {
                1: (12, "claim", "ClaimOrder", False),
                2: (12, "finish", "FinishOrder", False),
                3: (12, "advance", "AdvanceClock", False),
            },
            [("claim", None), ("finish", None), ("advance", None)],
        ),
        "OrderResult": (
            {
                1: (11, "state", False),
                2: (18, "answer", False),
                3: (11, "detail", False),
                4: (8, "shards", False),
            },
            [("state", ""), ("answer", None), ("detail", ""), ("shards", 1)],
        ),
        "ClaimRequest": (
            {1: (12, "claim", "ClaimOrder", False), 2: (10, "wait_ms", False)},
            [("claim", None), ("wait_ms", 0)],
        ),
    },
    "quarantine": {
        "QuarantineNotice": (
            {
                1: (11, "action", False),
                2: (11, "fingerprint", False),
                3: (11, "loss", False),
            },
            [("action", ""), ("fingerprint", ""), ("loss", "")],
        ),
        "QuarantineRecord": ({1: (15, "losses", 11, False)}, [("losses", [])]),
    },
    "replication": {
        "WireMember": (
            {
                1: (11, "name", False),
                2: (11, "address", False),
                3: (2, "voter", False),
                4: (2, "promote", False),
                5: (10, "incarnation", False),
            },
            [
                ("name", None),
                ("address", None),
                ("voter", None),
                ("promote", None),
                ("incarnation", None),
            ],
        ),
        "WireMembers": (
            {
                1: (11, "cluster_id", False),
                2: (10, "epoch", False),
                3: (15, "members", (12, "WireMember"), False),
            },
            [("cluster_id", None), ("epoch", None), ("members", None)],
        ),
        "WireEntry": (
            {
                1: (10, "index", False),
                2: (10, "term", False),
                3: (8, "kind", False),
                4: (18, "data", False),
            },
            [("index", None), ("term", None), ("kind", None), ("data", None)],
        ),
        "VoteState": (
            {
                1: (10, "term", False),
                2: (11, "voted_for", False),
                3: (10, "incarnation", False),
                4: (2, "formed", False),
                5: (2, "lost", False),
                6: (11, "cluster_id", False),
            },
            [
                ("term", None),
                ("voted_for", None),
                ("incarnation", None),
                ("formed", None),
                ("lost", None),
                ("cluster_id", None),
            ],
        ),
        "SnapshotMeta": (
            {
                1: (10, "index", False),
                2: (10, "term", False),
                3: (12, "members", "WireMembers", False),
            },
            [("index", None), ("term", None), ("members", None)],
        ),
        "AppendRequest": (
            {
                1: (8, "version", False),
                2: (11, "cluster_id", False),
                3: (10, "term", False),
                4: (11, "leader", False),
                5: (11, "leader_address", False),
                6: (10, "prev_index", False),
                7: (10, "prev_term", False),
                8: (15, "entries", (12, "WireEntry"), False),
                9: (10, "commit_index", False),
            },
            [
                ("version", None),
                ("cluster_id", None),
                ("term", None),
                ("leader", None),
                ("leader_address", None),
                ("prev_index", None),
                ("prev_term", None),
                ("entries", None),
                ("commit_index", None),
            ],
        ),
        "AppendResponse": (
            {
                1: (10, "term", False),
                2: (2, "success", False),
                3: (10, "match_index", False),
                4: (10, "next_index", False),
                5: (10, "incarnation", False),
            },
            [
                ("term", None),
                ("success", None),
                ("match_index", None),
                ("next_index", None),
                ("incarnation", None),
            ],
        ),
        "VoteRequest": (
            {
                1: (8, "version", False),
                2: (11, "cluster_id", False),
                3: (10, "term", False),
                4: (11, "candidate", False),
                5: (10, "last_index", False),
                6: (10, "last_term", False),
                7: (2, "is_trial", False),
                8: (2, "is_transfer", False),
                9: (10, "idle_session", False),
            },
            [
                ("version", None),
                ("cluster_id", None),
                ("term", None),
                ("candidate", None),
                ("last_index", None),
                ("last_term", None),
                ("is_trial", None),
                ("is_transfer", None),
                ("idle_session", 0),
            ],
        ),
        "VoteResponse": (
            {
                1: (10, "term", False),
                2: (2, "granted", False),
                3: (10, "incarnation", False),
                4: (10, "idle_session", False),
            },
            [
                ("term", None),
                ("granted", None),
                ("incarnation", None),
                ("idle_session", 0),
            ],
        ),
        "SnapshotRequest": (
            {
                1: (8, "version", False),
                2: (11, "cluster_id", False),
                3: (10, "term", False),
                4: (11, "leader", False),
                5: (11, "leader_address", False),
                6: (12, "meta", "SnapshotMeta", False),
                7: (10, "offset", False),
                8: (10, "total", False),
                9: (18, "data", False),
                10: (10, "checksum", False),
            },
            [
                ("version", None),
                ("cluster_id", None),
                ("term", None),
                ("leader", None),
                ("leader_address", None),
                ("meta", None),
                ("offset", None),
                ("total", None),
                ("data", None),
                ("checksum", None),
            ],
        ),
        "SnapshotResponse": (
            {
                1: (10, "term", False),
                2: (10, "received", False),
                3: (2, "installed", False),
                4: (10, "incarnation", False),
            },
            [
                ("term", None),
                ("received", None),
                ("installed", None),
                ("incarnation", None),
            ],
        ),
        "TransferRequest": (
            {
                1: (8, "version", False),
                2: (11, "cluster_id", False),
                3: (10, "term", False),
            },
            [("version", None), ("cluster_id", None), ("term", None)],
        ),
        "StatusResponse": (
            {
                1: (11, "node", False),
                2: (10, "term", False),
                3: (11, "leader_address", False),
                4: (2, "is_leader", False),
                5: (10, "last_index", False),
                6: (10, "commit_index", False),
                7: (2, "is_empty", False),
                8: (11, "cluster_id", False),
            },
            [
                ("node", None),
                ("term", None),
                ("leader_address", None),
                ("is_leader", None),
                ("last_index", None),
                ("commit_index", None),
                ("is_empty", None),
                ("cluster_id", None),
            ],
        ),
        "BarrierResponse": ({1: (10, "index", False)}, [("index", None)]),
    },
}
