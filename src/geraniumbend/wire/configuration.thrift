namespace py geraniumbend.wire.configuration

/** Operations on the configuration, as JSON; either all or none are applied. */
struct Change {
  1: string change_id = ""
  2: i64 expected_revision = 0
  3: binary operations = ""
  4: string operator = ""
  5: i64 time_ms = 0
  /** Digest of the client's request; a resent change has the same digest. */
  6: string digest = ""
}

/** First command in the configuration log of a new cluster. */
struct Founding {
  1: string cluster_id = ""
  2: i32 order_shards = 1
}

/** A backup that is restored into an empty cluster; the document is JSON. */
struct Restoration {
  1: string change_id = ""
  2: binary document = ""
  3: string operator = ""
  4: i64 time_ms = 0
  5: string digest = ""
}

/**
 * A whole configuration with a version that the operator chose; the highest version is
 * in effect. Both byte fields are compressed with deflate: `document` is the
 * configuration as JSON; `source` is the operator's document, returned unchanged when
 * it is read.
 */
struct Replacement {
  1: i64 version = 0
  2: binary document = ""
  3: binary source = ""
  4: string operator = ""
  5: i64 time_ms = 0
}

/** Beginning or end of the evacuation of a failure domain. */
struct Evacuation {
  1: string domain = ""
  2: bool active = false
  3: string operator = ""
  4: i64 time_ms = 0
}

/** Command of the configuration log; exactly one field is set. */
struct Command {
  1: optional Change change
  2: optional Founding founding
  3: optional Restoration restoration
  4: optional Replacement replacement
  5: optional Evacuation evacuation
}

/** Result of a command; `current` holds the values that the change concerns, as JSON. */
struct Outcome {
  1: string state = "applied"
  2: i64 revision = 0
  3: string message = ""
  4: string remedy = ""
  5: binary current = ""
  6: bool repeated = false
}

/** Long poll for changes after the known revision. */
struct PollRequest {
  1: string node = ""
  2: i64 known_revision = 0
  3: i32 wait_ms = 0
  4: bool confirm = false
  /** Whether the sender reads packed responses. */
  5: bool accepts_packed = false
}

/** One accepted change, operations as JSON. */
struct AcceptedChange {
  1: i64 revision = 0
  2: binary operations = ""
}

/** Changes since the known revision, or the whole configuration as JSON. */
struct PollResponse {
  1: i64 revision = 0
  2: list<AcceptedChange> changes = []
  3: bool complete = false
  4: binary document = ""
  /** Deflated PollResponse in place of the other fields, if the receiver reads it. */
  5: binary packed = ""
}

/** Current revision, confirmed by a read barrier at the leader. */
struct ConfirmedRevision {
  1: i64 revision = 0
  2: i64 index = 0
}
