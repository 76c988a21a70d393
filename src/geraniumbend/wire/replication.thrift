namespace py geraniumbend.wire.replication

/** One replica of the member list, which is itself replicated. */
struct WireMember {
  1: string name
  2: string address
  3: bool voter
  /** Whether the leader promotes this learner to voter once it has caught up. */
  4: bool promote
  /** Identity of the replica's disk; a replica that lost its log has a new one. */
  5: i64 incarnation
}

struct WireMembers {
  1: string cluster_id
  2: i64 epoch
  3: list<WireMember> members
}

/** One log entry, in messages and as the payload of a disk record. */
struct WireEntry {
  1: i64 index
  2: i64 term
  3: i32 kind
  4: binary data
}

/** Content of the vote file. */
struct VoteState {
  1: i64 term
  2: string voted_for
  3: i64 incarnation
  4: bool formed
  5: bool lost
  /** Cluster id of a committed entry, empty if none is known to be committed. */
  6: string cluster_id
}

/** Header of a snapshot file, a snapshot transfer and a backup. */
struct SnapshotMeta {
  1: i64 index
  2: i64 term
  3: WireMembers members
}

struct AppendRequest {
  1: i32 version
  2: string cluster_id
  3: i64 term
  4: string leader
  5: string leader_address
  6: i64 prev_index
  7: i64 prev_term
  8: list<WireEntry> entries
  9: i64 commit_index
}

struct AppendResponse {
  1: i64 term
  2: bool success
  3: i64 match_index
  /** Next log index that the leader tries after a refused append. */
  4: i64 next_index
  5: i64 incarnation
}

struct VoteRequest {
  1: i32 version
  2: string cluster_id
  3: i64 term
  4: string candidate
  5: i64 last_index
  6: i64 last_term
  7: bool is_trial
  8: bool is_transfer
  /** Session that the voter sent with its pre-vote, if all voters sent one. */
  9: i64 idle_session = 0
}

struct VoteResponse {
  1: i64 term
  2: bool granted
  3: i64 incarnation
  /** Number of the voter's process if only its restart keeps it from voting, else 0. */
  4: i64 idle_session = 0
  /** Time that a write of the voter's vote takes, in milliseconds; 0 if unknown. */
  5: i64 save_ms = 0
  /** Whether the voter compares the logs again when a vote request is repeated. */
  6: bool rechecks_log = false
}

struct SnapshotRequest {
  1: i32 version
  2: string cluster_id
  3: i64 term
  4: string leader
  5: string leader_address
  6: SnapshotMeta meta
  7: i64 offset
  8: i64 total
  9: binary data
  10: i64 checksum
}

struct SnapshotResponse {
  1: i64 term
  2: i64 received
  3: bool installed
  4: i64 incarnation
}

struct TransferRequest {
  1: i32 version
  2: string cluster_id
  3: i64 term
}

struct StatusResponse {
  1: string node
  2: i64 term
  3: string leader_address
  4: bool is_leader
  5: i64 last_index
  6: i64 commit_index
  7: bool is_empty
  8: string cluster_id
}

struct BarrierResponse {
  1: i64 index
}
