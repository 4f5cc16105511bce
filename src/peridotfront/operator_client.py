"""Client of the admin addresses: finds the leader, repeats safely, confirms."""

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
ASK_ANOTHER = (HTTPStatus.MISDIRECTED_REQUEST, HTTPStatus.SERVICE_UNAVAILABLE)
DECIDED = (HTTPStatus.OK, HTTPStatus.CONFLICT, HTTPStatus.UNPROCESSABLE_ENTITY)
AnswerBody = TypeVar("AnswerBody", bound=Body)


@dataclass(frozen=True, slots=True)
class Reply:
    """Is a whole answer of a host."""

    host: str
    status_code: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Confirmation:
    """Tells which hosts run with a configuration.

    :param is_known: false if no leader could be asked.
    :param laggards: live entry hosts that have not confirmed it.
    :param silent: hosts that are not alive; they learn it when they are back.
    :param unheard: entry hosts of the settings that the leader never heard.
    """

    is_known: bool = False
    laggards: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()
    unheard: tuple[str, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Tell whether every live entry host has confirmed."""
        return self.is_known and not self.laggards

    @property
    def is_settled(self) -> bool:
        """Tell whether waiting longer can't change anything."""
        return self.is_complete and not self.unheard


class OperatorClient:
    """Asks the hosts of a deployment in an operator's name.

    A change whose answer is lost is sent again with the same change id, so that
    it is applied once at most.

    :param settings: whom to ask, and in whose name.

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
        """Return what the leader knows of the deployment."""
        return await self._read("/status", StatusAnswer)

    async def config(self, version: int | None = None) -> ConfigAnswer:
        """Return the configuration in force, or an older version."""
        query = "" if version is None else f"?version={version}"
        return await self._read(f"/config{query}", ConfigAnswer)

    async def history(self) -> HistoryAnswer:
        """Return the versions that are kept."""
        return await self._read("/config/history", HistoryAnswer)

    async def claim(self, key: str) -> ClaimAnswer:
        """Return what is on record of a request."""
        return await self._read(f"/requests/{quote(key, safe='')}", ClaimAnswer)

    async def propose(self, change: ChangeRequest) -> ChangeAnswer:
        """Propose a configuration; repeat until the outcome is known.

        :raises ChangeRefused: if it has faults.
        :raises ControlUnavailable: if the outcome stayed unknown.
        """
        body = change.model_dump_json().encode()
        reply = await self._ask_leader("POST", "/config", body)
        if reply.status_code not in DECIDED:
            raise UsageInvalid(_problem_text(reply))
        answer = _parse(ChangeAnswer, reply.body)
        if answer is None:
            raise ChangeRefused(_problem_text(reply))
        if answer.status is ChangeStatus.INVALID:
            return await self.accepted(change.change_id) or answer
        return answer

    async def accepted(self, change_id: str) -> ChangeAnswer | None:
        """Return the outcome of a change that was accepted earlier, or None."""
        for version in (await self.history()).versions:
            if version.change_id == change_id:
                return ChangeAnswer(
                    change_id=change_id,
                    status=ChangeStatus.ACCEPTED,
                    version=version.version,
                    author=version.author,
                )
        return None

    async def confirmation(self, version: int, wait_ms: int) -> Confirmation:
        """Wait until every live entry host runs with a configuration version.

        A leader that was elected just now has not heard every host; those that
        the settings name are waited for.

        :param wait_ms: how long to wait at most.
        """
        confirmation = Confirmation()
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while not confirmation.is_settled:
                    confirmation = self._confirmation(version, await self.status())
                    if not confirmation.is_settled:
                        await asyncio.sleep(CONFIRM_INTERVAL_MS / 1000)
        except (TimeoutError, ControlUnavailable):
            return confirmation
        return confirmation

    def _confirmation(self, version: int, status: StatusAnswer) -> Confirmation:
        heard = {host.name for host in status.hosts}
        laggards = [host.name for host in status.hosts if _lags(host, version)]
        silent = [host.name for host in status.hosts if not host.is_alive]
        unheard = [host.name for host in self._entry_hosts if host.name not in heard]
        return Confirmation(True, tuple(laggards), tuple(silent), tuple(unheard))

    @property
    def _entry_hosts(self) -> list[AdminHost]:
        return [host for host in self._settings.hosts if host.role == ENTRY_ROLE]

    async def dump(self, host_name: str) -> bytes:
        """Return the state of one process as JSON.

        :raises UsageInvalid: if the settings do not name the host.
        :raises ControlUnavailable: if it does not answer.
        """
        host = self._settings.host(host_name)
        if host is None:
            raise UsageInvalid(f"the settings name no [host {host_name}]")
        return _checked(await self._send(host, "GET", "/state")).body

    async def upstreams(self) -> tuple[UpstreamsAnswer, ...]:
        """Return what the entry hosts that answer say of their upstreams."""
        calls = [self._upstreams_of(host) for host in self._entry_hosts]
        answers = await asyncio.gather(*calls)
        return tuple([answer for answer in answers if answer is not None])

    async def _upstreams_of(self, host: AdminHost) -> UpstreamsAnswer | None:
        try:
            reply = await self._send(host, "GET", "/upstreams")
        except ControlUnavailable:
            return None
        return _parse(UpstreamsAnswer, reply.body)

    async def _read(self, target: str, kind: type[AnswerBody]) -> AnswerBody:
        reply = _checked(await self._ask_leader("GET", target))
        answer = _parse(kind, reply.body)
        if answer is None:
            raise ControlUnavailable(f"{reply.host} sent an answer of another kind")
        return answer

    async def _ask_leader(self, method: str, target: str, body: bytes = b"") -> Reply:
        reasons: dict[str, str] = {}
        try:
            async with asyncio.timeout(self._settings.timing.leader_timeout_ms / 1000):
                while True:
                    reply = await self._ask_each(method, target, body, reasons)
                    if reply is not None:
                        return reply
                    await asyncio.sleep(RETRY_INTERVAL_MS / 1000)
        except TimeoutError as error:
            text = "; ".join([f"{host}: {why}" for host, why in reasons.items()])
            raise ControlUnavailable(f"no leader answered in time ({text})") from error

    async def _ask_each(
        self, method: str, target: str, body: bytes, reasons: dict[str, str]
    ) -> Reply | None:
        asked: set[str] = set()
        while (host := self._next_host(asked)) is not None:
            asked.add(host.name)
            try:
                reply = await self._send(host, method, target, body)
            except ControlUnavailable as error:
                reasons[host.name] = str(error)
                self._leader = ""
                continue
            if reply.status_code not in ASK_ANOTHER:
                self._leader = host.name
                return reply
            reasons[host.name] = _problem_text(reply)
            problem = _parse(ProblemBody, reply.body)
            self._leader = problem.leader if problem else ""
        return None

    def _next_host(self, asked: set[str]) -> AdminHost | None:
        return next((h for h in self._by_hope() if h.name not in asked), None)

    def _by_hope(self) -> Iterator[AdminHost]:
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


def _lags(host: HostStatus, version: int) -> bool:
    is_live_entry = host.role == ENTRY_ROLE and host.is_alive
    return is_live_entry and host.config_version < version


def _checked(reply: Reply) -> Reply:
    if reply.status_code != HTTPStatus.OK:
        raise UsageInvalid(_problem_text(reply))
    return reply


def _parse(kind: type[AnswerBody], content: bytes) -> AnswerBody | None:
    try:
        return kind.model_validate_json(content)
    except ValidationError:
        return None


def _problem_text(reply: Reply) -> str:
    problem = _parse(ProblemBody, reply.body)
    if problem is None:
        return f"{reply.host} answered {reply.status_code}"
    lines = [f"{reply.host}: {problem.detail or problem.title}"]
    lines.extend(
        [f"  [{f.section}] {f.key} = {f.value!r}: {f.reason}" for f in problem.faults]
    )
    return "\n".join(lines)
