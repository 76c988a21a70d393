"""Stages of the start of a control host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from geraniumbend.roles._start_stages import StartStages

if TYPE_CHECKING:
    from collections.abc import Sequence

    from geraniumbend.configuration import ConfigurationStore
    from geraniumbend.replication import Replica
    from geraniumbend.settings import Settings
    from geraniumbend.timers import TimerService


def create_control_stages(
    settings: Settings,
    logs: Sequence[Replica],
    store: ConfigurationStore,
    timers: TimerService,
) -> StartStages:
    """Return the stages of a control host.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    logs : sequence of Replica
        Replicas of this host.
    store : ConfigurationStore
        Configuration that this host has applied.
    timers : TimerService
        Clock.

    Returns
    -------
    StartStages
        Stages in order; the process reports those that concern files and ports.
    """
    listen, operators = settings.peer.listen, settings.control.operators

    def describe_logs() -> dict[str, Any]:
        waits = {log.shard: log.describe_waits() for log in logs}
        return {shard: reasons for shard, reasons in waits.items() if reasons}

    stages = StartStages("control", timers)
    stages.add("settings_read")
    stages.add("peer_port_open", describe_wait=lambda: f"{listen.host}:{listen.port}")
    stages.add("logs_loaded", describe_wait=describe_logs)
    stages.add(
        "operators_listening",
        describe_wait=lambda: f"{operators.host}:{operators.port}",
    )
    stages.add("logs_formed", lambda: all(log.is_formed for log in logs), describe_logs)
    stages.add(
        "leaders_known", lambda: all(log.leader_address for log in logs), describe_logs
    )
    stages.add(
        "first_commits", lambda: all(log.commit_index for log in logs), describe_logs
    )
    stages.add("cluster_id_recorded", lambda: bool(store.cluster_id), describe_logs)
    return stages
