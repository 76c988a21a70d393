namespace py geraniumbend.wire

/** Recent rate of successful requests of one gateway, per second, by group. */
struct RetryEarnings {
  1: map<string, double> rates = {}
}
