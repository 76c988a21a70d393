namespace py geraniumbend.wire

/** A notice to all gateways about one request fingerprint. */
struct QuarantineNotice {
  1: string action = ""
  2: string fingerprint = ""
  3: string loss = ""
}

/** Losses that one gateway has seen for one fingerprint. */
struct QuarantineRecord {
  1: list<string> losses = []
}
