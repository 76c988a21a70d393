namespace py geraniumbend.wire.orders

/** Claim of an idempotency key before its order is sent to a backend server. */
struct ClaimOrder {
  1: string key = ""
  2: binary caller = ""
  3: binary request = ""
  4: string token = ""
  5: string owner = ""
  6: i64 lease_ms = 0
}

/** End of a claim: `completed`, `released` (provably not run) or `unknown`. */
struct FinishOrder {
  1: string key = ""
  2: string token = ""
  3: string state = ""
  4: optional binary answer
}

/** Time since the previous entry of this kind, on the leader's clock. */
struct AdvanceClock {
  1: i64 elapsed_ms = 0
}

/** Command of an order log; exactly one field is set. */
struct OrderCommand {
  1: optional ClaimOrder claim
  2: optional FinishOrder finish
  3: optional AdvanceClock advance
}

/** Result of a command. */
struct OrderResult {
  1: string state = ""
  2: optional binary answer
  3: string detail = ""
  4: i32 shards = 1
}

/** Claim, with the longest time that the client waits for an order that is running. */
struct ClaimRequest {
  1: ClaimOrder claim
  2: i64 wait_ms = 0
}
