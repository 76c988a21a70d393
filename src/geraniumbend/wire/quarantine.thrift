namespace py geraniumbend.wire

/** Notice to all gateways about one request fingerprint. */
struct QuarantineNotice {
  1: string action = ""
  2: string fingerprint = ""
  3: string loss = ""
}

/**
 * Lost servers (`id/incarnation`) of one fingerprint that one gateway knows of, and those
 * that do not count any more since the fingerprint was cleared.
 */
struct QuarantineRecord {
  1: list<string> losses = []
  2: list<string> cleared = []
}
