namespace py geraniumbend.wire

/** Recent successes per second of one gateway by group. */
struct RetryEarnings {
  1: map<string, double> rates = {}
}
