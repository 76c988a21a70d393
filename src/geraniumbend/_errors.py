"""Tree of the errors that geraniumbend raises on purpose."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, ClassVar, Literal

if TYPE_CHECKING:
    from collections.abc import Mapping

RunState = Literal["not_run", "unknown"]


class GeraniumbendError(Exception):
    """Base of all errors that geraniumbend raises on purpose.

    Parameters
    ----------
    message : str
        Cause of the error, one sentence.
    remedy : str, default=""
        What the reader can do about it, one sentence.

    Attributes
    ----------
    exit_code : int
        Exit code of the command line for this error.
    http_status : int
        HTTP status in the operators' API for this error.
    """

    exit_code: ClassVar[int] = 1
    http_status: ClassVar[int] = 500

    def __init__(self, message: str, remedy: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy

    def __str__(self) -> str:
        """Return cause and remedy on one line."""
        if not self.remedy:
            return self.message
        return f"{self.message}; {self.remedy}"


class SettingsError(GeraniumbendError):
    """A settings file is missing, unreadable or invalid."""

    exit_code = 3
    http_status = 400


class ConfigurationError(GeraniumbendError):
    """A group, rule, selector or label is invalid."""

    exit_code = 4
    http_status = 422


class UnknownDomainError(ConfigurationError):
    """No host and no backend server is in a failure domain that an operator named."""


class ConflictError(GeraniumbendError):
    """Another change was accepted first.

    Parameters
    ----------
    message : str
        Cause of the error.
    remedy : str, default=""
        What the operator can do.
    current_revision : int, default=0
        Revision in effect when the change was refused.
    """

    exit_code = 5
    http_status = 409

    def __init__(
        self, message: str, remedy: str = "", current_revision: int = 0
    ) -> None:
        super().__init__(message, remedy)
        self.current_revision = current_revision


class UnavailableError(GeraniumbendError):
    """The outcome is unknown or no majority of control hosts answers."""

    exit_code = 6
    http_status = 503


class NotLeaderError(UnavailableError):
    """The control host that was asked does not lead the log.

    Parameters
    ----------
    message : str
        Cause of the error.
    remedy : str, default=""
        What the client can do.
    leader : str, default=""
        Peer address of the leader as ``ip:port``, empty when unknown.
    """

    def __init__(self, message: str, remedy: str = "", leader: str = "") -> None:
        super().__init__(message, remedy)
        self.leader = leader


class StorageError(GeraniumbendError):
    """A file below the data folder is damaged or cannot be written."""

    exit_code = 7


class ListenError(GeraniumbendError):
    """An address cannot be listened on."""

    exit_code = os.EX_OSERR


class PortTakenError(ListenError):
    """Another process or connection uses a port for longer than the wait for it."""

    exit_code = os.EX_UNAVAILABLE


class AddressMissingError(ListenError):
    """The host lacks an address that is to be listened on."""

    exit_code = os.EX_NOHOST


class PortDeniedError(ListenError):
    """The system denies a port to this process."""

    exit_code = os.EX_NOPERM


class ProtocolError(GeraniumbendError):
    """A peer sent a frame or message that cannot be accepted."""

    exit_code = 8
    http_status = 400


class AuthenticationError(GeraniumbendError):
    """A token or key is missing, unknown or lacks the role."""

    exit_code = 9
    http_status = 401


class RefusedError(GeraniumbendError):
    """A caller's request is refused.

    Parameters
    ----------
    message : str
        Cause of the refusal.
    remedy : str, default=""
        What the caller can do.
    run : {"not_run", "unknown"}, default="not_run"
        Whether a backend server may have run the request.
    status : int, default=503
        HTTP status of the response.
    kind : str, default="overloaded"
        Last part of the problem type URI (RFC 9457).
    retry_after_s : float or None, default=None
        Delay for the ``Retry-After`` header, in seconds.
    inputs : mapping of str to float or None, default=None
        Values that decided the refusal, for the log only; callers do not see them.
    """

    exit_code = 10
    http_status = 503

    def __init__(
        self,
        message: str,
        remedy: str = "",
        run: RunState = "not_run",
        status: int = 503,
        kind: str = "overloaded",
        retry_after_s: float | None = None,
        inputs: Mapping[str, float] | None = None,
    ) -> None:
        super().__init__(message, remedy)
        self.inputs = inputs or {}
        self.run = run
        self.status = status
        self.kind = kind
        self.retry_after_s = retry_after_s
