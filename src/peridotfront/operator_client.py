"""Client of the admin addresses that finds the leader and retries safely."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import quote

from pydantic import ValidationError

from .admin_messages import (
    Body,
    ChangeAnswer,
    ChangeRequest,
    ClaimAnswer,
    ConfigAnswer,
    HistoryAnswer,
    HostStatus,
    ProblemBody,
    StatusAnswer,
    UpstreamsAnswer,
)
from .core.messages import ChangeStatus
from .ctl_settings import AdminHost, CtlSettings
from .exceptions import (
    ChangeRefused,
    ControlUnavailable,
    InvalidRequest,
    UpstreamError,
    UsageInvalid,
)
from .http_client import HttpClient, UpstreamTimeouts
from .http_messages import Header
from .tls import client_ssl_context

ENTRY_ROLE = "entry"
RETRY_INTERVAL_MS = 100
CONFIRM_INTERVAL_MS = 100
MAX_ANSWER_BYTES = 16_777_216
TRY_NEXT_HOST_CODES = (HTTPStatus.MISDIRECTED_REQUEST, HTTPStatus.SERVICE_UNAVAILABLE)
DECIDED_CODES = (HTTPStatus.OK, HTTPStatus.CONFLICT, HTTPStatus.UNPROCESSABLE_ENTITY)
AnswerBody = TypeVar("AnswerBody", bound=Body)


@dataclass(frozen=True, slots=True)
class Reply:
    """Complete HTTP response of a host."""

    host: str
    status_code: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Hosts that have, or have not, confirmed a configuration version.

    :param is_known: false if no leader answered.
    :param laggards: live entry hosts that have not confirmed it.
    :param silent: hosts that are not alive; they get it when they are back.
    :param never_seen: entry hosts of the settings that are missing in the leader's
        status, since it has received no heartbeat from them.
    """

    is_known: bool = False
    laggards: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    never_seen: tuple[str, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Return whether every live entry host has confirmed."""
        return self.is_known and not self.laggards

    @property
    def is_final(self) -> bool:
        """Return whether waiting longer can no longer change the result."""
        return self.is_complete and not self.never_seen


class OperatorClient:
    """Client of a deployment's admin addresses with an operator's identity.

    A change whose answer is lost is sent again with the same change id, so that
    it is applied at most once.

    :param settings: the hosts, the operator's identity and the time limits.

    Usage::

        async with OperatorClient(settings) as client:
            status = await client.status()
    """

    def __init__(self, settings: CtlSettings):
        self._settings = settings
        context = (
            None if settings.tls.is_off else client_ssl_context(settings.tls.ca_file)
        )
        self._http = HttpClient(ssl_context=context)
        self._leader = ""
        timeout_ms = settings.timing.answer_timeout_ms
        self._timeouts = UpstreamTimeouts(timeout_ms, timeout_ms, timeout_ms)

    async def __aenter__(self) -> "OperatorClient":
        return self

    async def __aexit__(self, *_) -> None:
        await self._http.close()

    async def status(self) -> StatusAnswer:
        """Fetch the state of the deployment from the leader."""
        return await self._read("/status", StatusAnswer)

    async def config(self, version: int | None = None) -> ConfigAnswer:
        """Fetch the configuration in force, or an older version."""
        query = "" if version is None else f"?version={version}"
        return await self._read(f"/config{query}", ConfigAnswer)

    async def history(self) -> HistoryAnswer:
        """Fetch the list of versions that are kept."""
        return await self._read("/config/history", HistoryAnswer)

    async def claim(self, key: str) -> ClaimAnswer:
        """Fetch the recorded claim and outcome of a request.

        :param key: client account, service and idempotency key, joined.
        """
        return await self._read(f"/requests/{quote(key, safe='')}", ClaimAnswer)

    async def propose(self, change: ChangeRequest) -> ChangeAnswer:
        """Propose a configuration, and retry until the outcome is known.

        :raises ChangeRefused: if the configuration is invalid.
        :raises ControlUnavailable: if the outcome is still unknown when time is up.
        :raises UsageInvalid: if the request itself is refused.
        """
        body = change.model_dump_json().encode()
        reply = await self._ask_leader("POST", "/config", body)
        if reply.status_code not in DECIDED_CODES:
            raise UsageInvalid(_format_problem(reply))
        answer = _parse(ChangeAnswer, reply.body)
        if answer is None:
            raise ChangeRefused(_format_problem(reply))
        if answer.status is ChangeStatus.INVALID:
            return await self.find_accepted(change.change_id) or answer
        return answer

    async def find_accepted(self, change_id: str) -> ChangeAnswer | None:
        """Return the outcome of a change, or None if no such change was accepted."""
        for version in (await self.history()).versions:
            if version.change_id == change_id:
                return ChangeAnswer(
                    change_id=change_id,
                    status=ChangeStatus.ACCEPTED,
                    version=version.version,
                    author=version.author,
                )
        return None

    async def wait_for_confirmation(self, version: int, wait_ms: int) -> Confirmation:
        """Wait until every live entry host has confirmed a configuration version.

        A newly elected leader has not received heartbeats from all hosts yet, so this
        also waits for the entry hosts that the settings name.

        :param wait_ms: time limit; the last known state is returned after it.
        """
        confirmation = Confirmation()
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while not confirmation.is_final:
                    confirmation = self._build_confirmation(
                        version, await self.status()
                    )
                    if not confirmation.is_final:
                        await asyncio.sleep(CONFIRM_INTERVAL_MS / 1000)
        except (TimeoutError, ControlUnavailable):
            return confirmation
        return confirmation

    def _build_confirmation(self, version: int, status: StatusAnswer) -> Confirmation:
        seen_names = {host.name for host in status.hosts}
        laggards = [host.name for host in status.hosts if _is_lagging(host, version)]
        silent = [host.name for host in status.hosts if not host.is_alive]
        never_seen = [
            host.name for host in self._entry_hosts if host.name not in seen_names
        ]
        return Confirmation(True, tuple(laggards), tuple(silent), tuple(never_seen))

    @property
    def _entry_hosts(self) -> list[AdminHost]:
        return [host for host in self._settings.hosts if host.role == ENTRY_ROLE]

    async def dump(self, host_name: str) -> bytes:
        """Fetch the state of one process as JSON.

        :raises UsageInvalid: if the settings do not name the host.
        :raises ControlUnavailable: if the host does not answer.
        """
        host = self._settings.host(host_name)
        if host is None:
            raise UsageInvalid(f"the settings name no [host {host_name}]")
        return _require_ok(await self._send(host, "GET", "/state")).body

    async def upstreams(self) -> tuple[UpstreamsAnswer, ...]:
        """Fetch the upstreams' states from all entry hosts that answer."""
        calls = [self._upstreams_of(host) for host in self._entry_hosts]
        answers = await asyncio.gather(*calls)
        return tuple([answer for answer in answers if answer is not None])

    async def _upstreams_of(self, host: AdminHost) -> UpstreamsAnswer | None:
        try:
            reply = await self._send(host, "GET", "/upstreams")
        except ControlUnavailable:
            return None
        return _parse(UpstreamsAnswer, reply.body)

    async def _read(self, target: str, answer_type: type[AnswerBody]) -> AnswerBody:
        reply = _require_ok(await self._ask_leader("GET", target))
        answer = _parse(answer_type, reply.body)
        if answer is None:
            raise ControlUnavailable(f"{reply.host} sent an unexpected answer")
        return answer

    async def _ask_leader(self, method: str, target: str, body: bytes = b"") -> Reply:
        reasons: dict[str, str] = {}
        try:
            async with asyncio.timeout(self._settings.timing.leader_timeout_ms / 1000):
                while True:
                    reply = await self._try_hosts(method, target, body, reasons)
                    if reply is not None:
                        return reply
                    await asyncio.sleep(RETRY_INTERVAL_MS / 1000)
        except TimeoutError as error:
            text = "; ".join([f"{host}: {reason}" for host, reason in reasons.items()])
            raise ControlUnavailable(f"no leader answered in time ({text})") from error

    async def _try_hosts(
        self, method: str, target: str, body: bytes, reasons: dict[str, str]
    ) -> Reply | None:
        tried: set[str] = set()
        while (host := self._next_host(tried)) is not None:
            tried.add(host.name)
            try:
                reply = await self._send(host, method, target, body)
            except ControlUnavailable as error:
                reasons[host.name] = str(error)
                self._leader = ""
                continue
            if reply.status_code not in TRY_NEXT_HOST_CODES:
                self._leader = host.name
                return reply
            reasons[host.name] = _format_problem(reply)
            problem = _parse(ProblemBody, reply.body)
            self._leader = problem.leader if problem else ""
        return None

    def _next_host(self, tried: set[str]) -> AdminHost | None:
        return next((h for h in self._candidates() if h.name not in tried), None)

    def _candidates(self) -> Iterator[AdminHost]:
        hosts = self._settings.control_hosts
        yield from [host for host in hosts if host.name == self._leader]
        yield from hosts

    async def _send(
        self, host: AdminHost, method: str, target: str, body: bytes = b""
    ) -> Reply:
        headers = [Header("authorization", f"Bearer {host.token}")]
        if body:
            headers.append(Header("content-type", "application/json"))
        try:
            answer = await self._http.send(
                host.admin_address,
                method,
                target,
                headers,
                body,
                timeouts=self._timeouts,
            )
            content = await answer.read(MAX_ANSWER_BYTES)
        except (UpstreamError, InvalidRequest) as error:
            raise ControlUnavailable(f"{host.name}: {error}") from error
        if answer.status_code == HTTPStatus.UNAUTHORIZED:
            raise UsageInvalid(f"{host.name} does not accept the token")
        return Reply(host.name, answer.status_code, content)


def _is_lagging(host: HostStatus, version: int) -> bool:
    is_live_entry = host.role == ENTRY_ROLE and host.is_alive
    return is_live_entry and host.config_version < version


def _require_ok(reply: Reply) -> Reply:
    if reply.status_code != HTTPStatus.OK:
        raise UsageInvalid(_format_problem(reply))
    return reply


def _parse(answer_type: type[AnswerBody], content: bytes) -> AnswerBody | None:
    try:
        return answer_type.model_validate_json(content)
    except ValidationError:
        return None


def _format_problem(reply: Reply) -> str:
    problem = _parse(ProblemBody, reply.body)
    if problem is None:
        return f"{reply.host} answered {reply.status_code}"
    lines = [f"{reply.host}: {problem.detail or problem.title}"]
    lines.extend(
        [f"  [{f.section}] {f.key} = {f.value!r}: {f.reason}" for f in problem.faults]
    )
    return "\n".join(lines)
