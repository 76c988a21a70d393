namespace py geraniumbend.wire

/** Notice to all gateways about one request fingerprint. */
struct QuarantineNotice {
  1: string action = ""
  2: string fingerprint = ""
  3: string loss = ""
}

/** Lost servers (`id/incarnation`) that one gateway observed for one fingerprint. */
struct QuarantineRecord {
  1: list<string> losses = []
}
