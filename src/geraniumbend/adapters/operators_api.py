"""Operators' HTTP API of control hosts."""

from __future__ import annotations

import itertools
import logging
import uuid
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
from sanic import Sanic
from sanic.exceptions import SanicException
from sanic.response import HTTPResponse

from geraniumbend.adapters._operators_protocol import OperatorsProtocol
from geraniumbend.adapters._ports import open_listener
from geraniumbend.adapters._token_authenticator import TokenAuthenticator
from geraniumbend.certificates import listener_certificates
from geraniumbend.configuration import (
    ConfigurationService,
    RemoveLabels,
    SetLabels,
    describe_configuration,
    describe_diff,
    describe_operation,
    operation_kinds,
    parse_document,
    parse_file,
    parse_operation,
    plan_operations,
)
from geraniumbend.errors import (
    ConfigurationError,
    ConflictError,
    GeraniumbendError,
    ProtocolError,
    UnknownDomainError,
)
from geraniumbend.logs import declare_event, log_event
from geraniumbend.wire import decode_document

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sanic import Request

    from geraniumbend.adapters.caller_guard import CallerGuard
    from geraniumbend.adapters.disk import WorkerPool
    from geraniumbend.settings import ControlSettings
    from geraniumbend.timers import Subscription, TimerService

    Handler = Callable[..., Awaitable[Any]]

MAX_WAIT_S = 30
MAX_BODY_BYTES = 4 * 1024 * 1024
TABLES = frozenset(("groups", "rules", "labels", "tenants"))
_application_numbers = itertools.count()

declare_event(
    620, "operators_api_failed", "error", "A request of the operators' API failed."
)


class ControlPort(Protocol):
    """Operations of the control host that are not part of the configuration."""

    def dump(self) -> dict[str, Any]:
        """Return the state of the process."""
        ...

    def list_members(self) -> dict[str, Any]:
        """Return the known processes and the members of each replicated log."""
        ...

    async def add_member(self, name: str, address: str) -> None:
        """Add a control host to all replicated logs."""
        ...

    async def remove_member(self, name: str) -> None:
        """Remove a control host from all replicated logs."""
        ...

    def count_domain_members(self) -> dict[str, dict[str, int]]:
        """Return the known hosts and backend servers by failure domain."""
        ...

    def list_quarantine(self) -> list[dict[str, Any]]:
        """Return the quarantined requests."""
        ...

    def clear_quarantine(self, fingerprint: str) -> None:
        """Release a request from quarantine."""
        ...


class OperatorsApi:
    """Serves the operators' HTTP API on the running event loop.

    Parameters
    ----------
    settings : ControlSettings
        Listener and tokens.
    service : ConfigurationService
        Reads and changes the configuration.
    control : ControlPort
        The control host itself.
    timers : TimerService
        Timers of the periodic check for changed certificate files.
    pool : WorkerPool or None, default=None
        Threads that check tokens; threads of its own if None.
    guard : CallerGuard or None, default=None
        Account of what callers hold.
    """

    def __init__(
        self,
        settings: ControlSettings,
        service: ConfigurationService,
        control: ControlPort,
        timers: TimerService,
        pool: WorkerPool | None = None,
        guard: CallerGuard | None = None,
    ) -> None:
        self._listen = settings.operators
        self._timers = timers
        self._watching: Subscription | None = None
        self._authenticator = TokenAuthenticator.from_config(settings, pool)
        self._service = service
        self._control = control
        self._server: Any = None
        self._guard = guard
        application = Sanic(
            f"operators-{next(_application_numbers)}", configure_logging=False
        )
        # Sanic's touch-up recompiles methods from their source, which is missing in
        # the single-file program.
        application.config.TOUCHUP = False
        application.config.REQUEST_MAX_SIZE = MAX_BODY_BYTES
        application.ctx.guard = guard
        application.config.RESPONSE_TIMEOUT = 2 * MAX_WAIT_S
        logging.getLogger("sanic").setLevel(logging.WARNING)
        application.exception(Exception)(self._error_response)
        self._application = application
        self._add_routes()

    async def start(self) -> None:
        """Start to listen, without worker processes of Sanic."""
        certificates = listener_certificates(self._listen.tls)
        if certificates is not None:
            self._watching = certificates.watch(self._timers)
        # Sanic would replace port 0 by its default port 8000.
        listener = await open_listener(self._listen.host, self._listen.port)
        if self._guard is not None:
            self._guard.add_listener(listener)
        self._server = await self._application.create_server(
            sock=listener,
            ssl=None if certificates is None else certificates.context,
            return_asyncio_server=True,
            protocol=OperatorsProtocol,
            access_log=False,
        )
        await self._server.startup()
        await self._server.start_serving()

    @property
    def port(self) -> int:
        """Return the TCP port of the listener."""
        port: int = self._server.server.sockets[0].getsockname()[1]
        return port

    async def stop(self) -> None:
        """Stop to listen and to watch the certificate files."""
        if self._watching is not None:
            self._watching.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None

    def _add_routes(self) -> None:
        read, write = "read", "write"
        self._route("GET", "/v1/configuration", read, self._get_configuration)
        self._route("POST", "/v1/configuration", write, self._apply)
        self._route("POST", "/v1/diff", read, self._diff)
        self._route("GET", "/v1/watch", read, self._watch)
        self._route("GET", "/v1/history", read, self._history)
        self._route("PUT", "/v1/<table:str>/<name:str>", write, self._put_label)
        self._route("DELETE", "/v1/<table:str>/<name:str>", write, self._delete)
        self._route("GET", "/v1/members", read, self._members)
        self._route("POST", "/v1/members", write, self._add_member)
        self._route("GET", "/v1/backup", read, self._backup)
        self._route("POST", "/v1/restore", write, self._restore)
        self._route("GET", "/v1/state", read, self._state)
        self._route("GET", "/v1/quarantine", read, self._quarantine)
        self._route("GET", "/v1/evacuations", read, self._list_evacuations)
        self._route("POST", "/v1/evacuations", write, self._evacuate)
        self._route("GET", "/v1/<table:str>", read, self._list)
        self._route("GET", "/v1/<table:str>/<name:str>", read, self._get)

    def _route(self, method: str, path: str, role: str, handler: Handler) -> None:
        async def respond(request: Request, **parts: str) -> HTTPResponse:
            header = request.headers.get("authorization", "")
            operator = await self._authenticator.check(header, role)
            return _json_response(await handler(request, operator, **parts))

        name = f"{method}-{path}".translate(str.maketrans("/<>:", "____"))
        self._application.add_route(respond, path, methods=[method], name=name)

    async def _get_configuration(self, request: Request, operator: str) -> Any:
        if request.args.get("stale") is None:
            await self._service.confirm()
        return describe_configuration(self._service.store.current)

    async def _list(self, request: Request, operator: str, table: str) -> Any:
        return {table: await self._read_table(request, table)}

    async def _get(self, request: Request, operator: str, table: str, name: str) -> Any:
        entries = await self._read_table(request, table)
        if name not in entries:
            raise _not_found(f"{table} has no entry {name!r}")
        return entries[name]

    async def _read_table(self, request: Request, table: str) -> dict[str, Any]:
        if table not in TABLES:
            raise _not_found(f"path {request.path!r} is unknown")
        document = await self._get_configuration(request, "")
        if table == "labels":
            return dict(document["labels"])
        return {entry["name"]: entry for entry in document.get(table, ())}

    async def _apply(self, request: Request, operator: str) -> Any:
        body = _read_body(request)
        change_id = str(body.get("change_id") or uuid.uuid4())
        if "operations" in body:
            operations = [parse_operation(entry) for entry in body["operations"]]
            outcome = await self._service.apply(
                operations, _read_revision(body), change_id, operator
            )
        else:
            content = _read_content(body)
            expected = body.get("expected_revision")
            if expected is not None:
                _read_revision(body)
            outcome = await self._service.apply_file(
                content, bool(body.get("prune")), change_id, operator, expected
            )
        return await self._describe_outcome(outcome, body.get("wait_s"))

    async def _describe_outcome(self, outcome: Any, wait_s: Any) -> dict[str, Any]:
        described = outcome._asdict()
        if wait_s is not None:
            limit_s = min(float(wait_s), MAX_WAIT_S)
            described["missing"] = await self._service.wait_in_force(
                outcome.revision, limit_s
            )
        return described

    async def _diff(self, request: Request, operator: str) -> Any:
        await self._service.confirm()
        body = _read_body(request)
        current = self._service.store.current
        operations = plan_operations(
            _read_content(body), current, bool(body.get("prune"))
        )
        return {
            "revision": current.revision,
            "changes": describe_diff(operations, current),
            "operations": [describe_operation(operation) for operation in operations],
        }

    async def _watch(self, request: Request, operator: str) -> Any:
        known_revision = _read_number(request, "revision", 0)
        wait_s = min(_read_number(request, "wait_s", 30), MAX_WAIT_S)
        await self._service.wait_for_change(int(known_revision), wait_s)
        store = self._service.store
        changes = store.changes_since(int(known_revision))
        return {
            "revision": store.current.revision,
            "complete": changes is not None,
            "changes": [_describe_entry(entry) for entry in changes or []],
        }

    async def _history(self, request: Request, operator: str) -> Any:
        await self._service.confirm()
        limit = max(1, int(_read_number(request, "limit", 100)))
        entries = list(self._service.store.history)[-limit:]
        return {"history": [_describe_entry(entry) for entry in reversed(entries)]}

    async def _put_label(
        self, request: Request, operator: str, table: str, name: str
    ) -> Any:
        if table != "labels":
            raise _not_found(f"path {request.path!r} cannot be put")
        body = _read_body(request)
        operation = parse_operation(
            {
                "operation": "set_labels",
                "server_id": name,
                "labels": body.get("labels"),
            }
        )
        assert isinstance(operation, SetLabels)
        change_id = str(body.get("change_id") or uuid.uuid4())
        outcome = await self._service.apply(
            [operation], _read_revision(body), change_id, operator
        )
        return await self._describe_outcome(outcome, body.get("wait_s"))

    async def _delete(
        self, request: Request, operator: str, table: str, name: str
    ) -> Any:
        if table == "members":
            await self._control.remove_member(name)
            return {"removed": name}
        if table == "quarantine":
            self._control.clear_quarantine(name)
            return {"cleared": name}
        if table not in TABLES:
            raise _not_found(f"path {request.path!r} is unknown")
        operation: Any = RemoveLabels(name)
        if table != "labels":
            operation = operation_kinds.get(f"delete_{table[:-1]}")(name)
        expected = int(_read_number(request, "expected_revision", -1))
        if expected < 0:
            raise _missing_revision()
        change_id = request.args.get("change_id") or str(uuid.uuid4())
        outcome = await self._service.apply([operation], expected, change_id, operator)
        return await self._describe_outcome(outcome, request.args.get("wait_s"))

    async def _members(self, request: Request, operator: str) -> Any:
        return self._control.list_members()

    async def _add_member(self, request: Request, operator: str) -> Any:
        body = _read_body(request)
        name, address = str(body.get("name", "")), str(body.get("address", ""))
        if not name or ":" not in address:
            raise ConfigurationError(
                "a member needs a name and a peer address", "send name and ip:port"
            )
        await self._control.add_member(name, address)
        return {"added": name}

    async def _backup(self, request: Request, operator: str) -> Any:
        await self._service.confirm()
        return self._service.store.backup()

    async def _restore(self, request: Request, operator: str) -> Any:
        body = _read_body(request)
        change_id = str(body.get("change_id") or uuid.uuid4())
        document = body.get("backup") or {}
        outcome = await self._service.restore(document, change_id, operator)
        return outcome._asdict()

    async def _state(self, request: Request, operator: str) -> Any:
        return self._control.dump()

    async def _quarantine(self, request: Request, operator: str) -> Any:
        return {"quarantine": self._control.list_quarantine()}

    async def _list_evacuations(self, request: Request, operator: str) -> Any:
        document = await self._get_configuration(request, "")
        members = self._control.count_domain_members()
        return {
            "evacuations": {
                domain: {"domain": domain, **members.get(domain, {})}
                for domain in document.get("evacuated", ())
            }
        }

    async def _evacuate(self, request: Request, operator: str) -> Any:
        body = _read_body(request)
        domain, active = body.get("domain"), body.get("active")
        if not isinstance(domain, str) or not isinstance(active, bool):
            raise ConfigurationError(
                "an evacuation needs a failure domain and whether it is active",
                "send domain and active",
            )
        known = self._control.count_domain_members()
        if active and domain not in known:
            raise UnknownDomainError(
                f"no host and no backend server is in failure domain {domain[:60]!r}",
                f"use one of {', '.join(sorted(known)) or 'none'}",
            )
        outcome = await self._service.evacuate(domain, active, operator)
        return await self._describe_outcome(outcome, body.get("wait_s"))

    async def _error_response(self, request: Request, error: Exception) -> HTTPResponse:
        if isinstance(error, GeraniumbendError):
            status = error.http_status
            kind, detail, remedy = type(error).__name__, error.message, error.remedy
        elif isinstance(error, SanicException):
            status, kind, detail, remedy = error.status_code, "http", str(error), ""
        else:
            log_event(620, path=request.path, error=repr(error))
            status, kind, detail = 500, "internal", "the request failed"
            remedy = "look for event 620 in the control host's log"
        problem: dict[str, Any] = {
            "type": f"https://geraniumbend.invalid/problems/{kind}",
            "title": kind,
            "status": status,
            "detail": detail,
            "remedy": remedy,
        }
        if isinstance(error, ConflictError):
            problem["current_revision"] = error.current_revision
            problem["current"] = getattr(error, "current", {})
        return _json_response(problem, status, "application/problem+json")


def _json_response(
    value: Any, status: int = 200, content_type: str = "application/json"
) -> HTTPResponse:
    return HTTPResponse(
        msgspec.json.encode(value), status=status, content_type=content_type
    )


def _read_body(request: Request) -> dict[str, Any]:
    if request.headers.get("content-type", "").startswith("application/toml"):
        return {"toml": request.body.decode("utf-8", "replace")}
    try:
        body: Any = decode_document(request.body)
    except ProtocolError as error:
        raise ConfigurationError(
            f"the body is not valid JSON: {error.message}",
            "send JSON or application/toml",
        ) from error
    if not isinstance(body, dict):
        raise ConfigurationError("the body is not a JSON object", "send an object")
    return body


def _read_content(body: dict[str, Any]) -> Any:
    if "toml" in body:
        return parse_file(str(body["toml"]), "body")
    return parse_document(body.get("document"), "document")


def _read_revision(body: dict[str, Any]) -> int:
    revision = body.get("expected_revision")
    if not isinstance(revision, int):
        raise _missing_revision()
    return revision


def _read_number(request: Request, name: str, default: float) -> float:
    try:
        return float(request.args.get(name, default))
    except ValueError as error:
        raise ConfigurationError(
            f"{name} is not a number", "correct the query of the request"
        ) from error


def _describe_entry(entry: Any) -> dict[str, Any]:
    return {**entry._asdict(), "operations": msgspec.json.decode(entry.operations)}


def _missing_revision() -> ConfigurationError:
    return ConfigurationError(
        "the change has no expected_revision",
        "read the configuration and send the revision that the change is based on",
    )


class _NotFoundError(ConfigurationError):
    http_status = 404


def _not_found(message: str) -> _NotFoundError:
    return _NotFoundError(message, "see docs/reference/operators-api.md")
