namespace py geraniumbend.wire

/** One version of a record; the highest (major, minor, state, origin) wins. */
struct RecordDelta {
  1: string kind = ""
  2: string owner = ""
  3: string key = ""
  4: i64 major = 0
  5: i64 minor = 0
  6: i16 state = 0
  7: string origin = ""
  8: binary value = ""
  9: i32 lifetime_ms = 0
}

/** One UDP datagram between processes. */
struct GossipMessage {
  1: i16 type = 0
  2: i64 number = 0
  3: string sender = ""
  4: string target = ""
  5: string target_address = ""
  6: list<RecordDelta> records = []
  7: string kind = ""
  8: binary value = ""
}

/** Value of a member record. */
struct MemberValue {
  1: string role = ""
  2: string address = ""
  3: string failure_domain = ""
}

/** Value of a backend server record. */
struct ServerValue {
  1: string host = ""
  2: i32 port = 0
  3: string failure_domain = ""
  4: map<string, string> labels = {}
  5: i32 slots = 1
  6: i32 connection_limit = 220
  7: bool draining = false
  8: i32 lease_ms = 10000
  /** How much longer the server is cold; absent if it is warm. */
  9: optional i32 warmup_ms
}

/** Value of a load record. */
struct LoadValue {
  1: i32 in_flight = 0
  2: i32 slots = 1
}

/** Value of a limit record: what a backend server takes from all gateways together. */
struct LimitValue {
  1: i64 incarnation = 0
  2: double per_s = 0.0
}

/** What the sender last heard about the warm-up of a backend server. */
struct WarmupValue {
  1: i64 incarnation = 0
  /** How much longer the server was cold at the statement; 0 if it was warm. */
  2: i32 left_ms = 0
  3: double per_s = 0.0
  /** Time since the statement. */
  4: i32 age_ms = 0
  /** Whether that time is exact, since a health response made the statement. */
  5: bool exact = false
}

/** Asks the gateway that grants a server's permits for some, and reports the limit. */
struct PermitRequest {
  1: string server_id = ""
  2: i64 incarnation = 0
  3: i64 number = 0
  /** Permits wanted; 0 only reports. */
  4: i32 wanted = 0
  /** Whether the sender has heard the server, and whether it then named a limit. */
  5: bool heard = false
  6: bool limited = false
  7: double per_s = 0.0
  /** Time since the sender heard the server. */
  8: i32 heard_age_ms = 0
  9: optional WarmupValue warmup
}

/** Answers a request for permits. */
struct PermitGrant {
  1: string server_id = ""
  2: i64 incarnation = 0
  3: i64 number = 0
  4: i32 count = 0
  /** Earliest next request, after this answer. */
  5: i32 hold_off_ms = 0
  6: bool limited = true
  7: double per_s = 0.0
  8: optional WarmupValue warmup
}

/** Rates of one gateway or failure domain by group: demand or recent successes. */
struct RatesValue {
  1: map<string, double> rates = {}
}

/** Announces the sender and summarizes its records by digests. */
struct DigestRequest {
  1: string sender = ""
  2: binary digests = ""
  3: list<RecordDelta> members = []
}

/** Pairs of key hash and version hash for all records in the buckets that differ. */
struct DigestResponse {
  1: binary entries = ""
  2: bool complete = true
  3: list<i32> buckets = []
  /** Whether the sender reads packed records. */
  4: bool accepts_packed = false
}

/** Records for the receiver, and hashes of the keys whose records it shall return. */
struct ExchangeMessage {
  1: list<RecordDelta> records = []
  2: binary wanted = ""
  /** Deflated RecordBatch; in place of the records if the receiver reads it. */
  3: binary packed_records = ""
  /** Whether the sender reads packed records. */
  4: bool accepts_packed = false
}

/** Records that are compressed together. */
struct RecordBatch {
  1: list<RecordDelta> records = []
}

/** What a gateway used of a tenant's quota at one allocator, and what it asks for. */
struct QuotaReport {
  1: string tenant = ""
  2: i16 allocator = 0
  /** Identifies the sender's count; a count starts anew after a restart. */
  3: i64 session = 0
  4: i64 number = 0
  /** Requests admitted without a permit, less refunds, since the count started. */
  5: i64 used = 0
  /** What an allocator has acknowledged of it. */
  6: i64 acknowledged = 0
  /** Permits wanted. */
  7: i32 wanted = 0
  /** Requests refused since the last report. */
  8: i32 refused = 0
}

/** Answers a QuotaReport; number 0 tells without one that a tenant is restricted. */
struct QuotaState {
  1: string tenant = ""
  2: i16 allocator = 0
  3: i64 session = 0
  4: i64 number = 0
  5: i64 used = 0
  6: i32 permits = 0
  7: bool restricted = true
  /** Earliest next request for permits, after this answer. */
  8: i32 hold_off_ms = 0
  /** Estimated time until the requests refused lately would have been admitted. */
  9: i32 wait_ms = 0
}
