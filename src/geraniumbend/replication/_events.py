from __future__ import annotations

from geraniumbend.logs import declare_event

declare_event(500, "replica_leads", "info", "This replica became leader of a log.")
declare_event(501, "replica_follows", "info", "This replica stopped leading a log.")
declare_event(
    502,
    "replica_failed",
    "error",
    "A disk write failed; the replica takes no part until the disk takes writes again.",
)
declare_event(
    503,
    "replica_lost_log",
    "error",
    "Stored files are damaged; they are kept in the folder damaged and the log is "
    "fetched from peers.",
)
declare_event(504, "members_changed", "info", "The member list of a log changed.")
declare_event(
    505, "state_machine_failed", "error", "A committed command raised an exception."
)
declare_event(506, "log_compacted", "debug", "A snapshot replaced log entries.")
declare_event(
    507, "snapshot_installed", "info", "A snapshot of the leader replaced the log."
)
declare_event(508, "log_formed", "info", "The first voters form the log.")
declare_event(
    509,
    "votes_missing",
    "warning",
    "No majority votes for this replica; missing tells why each voter does not.",
)
declare_event(
    510, "replica_recovered", "info", "The disk takes writes again after a failed one."
)
