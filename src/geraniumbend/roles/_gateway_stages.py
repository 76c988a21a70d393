"""Stages of the start of a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from geraniumbend.roles._start_stages import StartStages

if TYPE_CHECKING:
    from geraniumbend.configuration import ConfigurationFollower
    from geraniumbend.membership import Membership
    from geraniumbend.settings import Settings
    from geraniumbend.timers import TimerService


def create_gateway_stages(
    settings: Settings,
    membership: Membership,
    follower: ConfigurationFollower,
    timers: TimerService,
) -> StartStages:
    """Return the stages of a gateway.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    membership : Membership
        Other processes, as far as they are known.
    follower : ConfigurationFollower
        Subscription to the configuration.
    timers : TimerService
        Clock.

    Returns
    -------
    StartStages
        Stages in order; the process reports those that concern ports.
    """
    listen = settings.peer.listen
    ready, caller = settings.gateway.announce, settings.gateway.caller
    seeds = list(settings.peer.seeds)

    def is_host_found() -> bool:
        members = membership.known_members()
        return follower.confirmed or any(
            member.role == "control" and member.live for member in members
        )

    def describe_search() -> dict[str, Any]:
        return {"seeds": seeds, "joined": membership.joined}

    stages = StartStages("gateway", timers)
    stages.add("settings_read")
    stages.add("peer_port_open", describe_wait=lambda: f"{listen.host}:{listen.port}")
    stages.add("ready_port_open", describe_wait=lambda: f"{ready.host}:{ready.port}")
    stages.add("control_host_found", is_host_found, describe_search)
    stages.add(
        "configuration_confirmed",
        lambda: follower.confirmed,
        follower.describe_failures,
    )
    stages.add("servers_known", describe_wait=describe_search)
    stages.add("ready", describe_wait=lambda: f"{caller.host}:{caller.port}")
    return stages
