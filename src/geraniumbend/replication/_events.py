"""Log events of replication."""

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
    511,
    "commit_waits",
    "warning",
    "This leader commits nothing; missing tells why each voter's copy does not count.",
)
declare_event(
    512, "log_loaded", "info", "The files of a log were read, or created if absent."
)
declare_event(
    513,
    "log_not_formed",
    "warning",
    "Another first voter has a log already; this host waits until its leader makes it "
    "a voter.",
)
declare_event(
    510, "replica_recovered", "info", "The disk takes writes again after a failed one."
)
declare_event(
    519,
    "log_not_read",
    "warning",
    "The files of a log cannot be read at present and are left as they are; the start "
    "tries again for 10 s. Check the limits and permissions that the error names.",
)
