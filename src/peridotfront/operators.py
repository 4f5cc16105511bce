"""Admin pages of a control host: configuration, status and claims."""

from http import HTTPStatus
from typing import Protocol

from pydantic import ValidationError

from .admin import (
    AdminAnswer,
    AdminPages,
    AdminRequest,
    build_json_answer,
    build_problem_answer,
)
from .admin_messages import (
    ChangeAnswer,
    ChangeRequest,
    ClaimAnswer,
    ConfigAnswer,
    ConfigVersion,
    FaultBody,
    HistoryAnswer,
    HostStatus,
    ReplicaStatus,
    StatusAnswer,
)
from .core.control_types import ControlView
from .core.messages import ChangeStatus, ClaimRecord, ConfigProposal, ConfigResult
from .exceptions import NotLeader, SettingsInvalid
from .fleet_config import parse_fleet
from .http_messages import Header
from .logs import write

RETRY_AFTER_S = 1
CURRENT_VERSION = -1
STATUS_CODES = {
    ChangeStatus.ACCEPTED: HTTPStatus.OK,
    ChangeStatus.CONFLICT: HTTPStatus.CONFLICT,
    ChangeStatus.INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
    ChangeStatus.UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
}


class ControlBackend(Protocol):
    """Interface of the control program that the pages use."""

    async def read(self) -> ControlView:
        """Return the current state, confirmed by a quorum.

        :raises NotLeader: if this host does not lead, or lost its quorum.
        """

    async def propose(self, proposal: ConfigProposal) -> ConfigResult:
        """Propose a configuration.

        :raises NotLeader: if this host does not lead, or lost its quorum; the
            proposal may still be accepted.
        """

    async def claim(self, key: str) -> ClaimRecord | None:
        """Return the claim of a key, or None if there is none.

        :raises NotLeader: if this host does not lead, or lost its quorum.
        """


class OperatorPages:
    """Admin pages for operators of a control host.

    A host that is not the leader answers 421 and names the leader; if it knows no
    leader, it answers 503.

    :param control: the control program.
    :param data_centre: data centre of the program's host.

    Usage::

        OperatorPages(control, "cardiff").add_to(admin_pages)
    """

    def __init__(self, control: ControlBackend, data_centre: str):
        self._control = control
        self._data_centre = data_centre

    def add_to(self, pages: AdminPages) -> None:
        """Register all pages."""
        pages.add("GET", "/status", _with_not_leader_answer(self._show_status))
        pages.add("GET", "/config", _with_not_leader_answer(self._show_config))
        pages.add("POST", "/config", _with_not_leader_answer(self._propose))
        pages.add("GET", "/config/history", _with_not_leader_answer(self._show_history))
        pages.add("GET", "/requests/{}", _with_not_leader_answer(self._show_claim))

    async def _show_status(self, request: AdminRequest) -> AdminAnswer:
        view = await self._control.read()
        return build_json_answer(build_status_answer(view, self._data_centre))

    async def _show_config(self, request: AdminRequest) -> AdminAnswer:
        version = request.read_number("version", CURRENT_VERSION)
        if version is None:
            return build_problem_answer(
                HTTPStatus.BAD_REQUEST, "version must be a number"
            )
        view = await self._control.read()
        records = [view.current, *view.history]
        record = next(
            (r for r in records if version in (CURRENT_VERSION, r.version)), None
        )
        if record is None or not record.is_content_kept:
            detail = f"version {version} is not kept"
            return build_problem_answer(HTTPStatus.NOT_FOUND, detail)
        return build_json_answer(
            ConfigAnswer(
                version=record.version,
                change_id=record.change_id,
                author=record.author,
                content=record.content,
            )
        )

    async def _show_history(self, request: AdminRequest) -> AdminAnswer:
        view = await self._control.read()
        versions = [
            ConfigVersion(
                version=record.version,
                change_id=record.change_id,
                author=record.author,
                time_ms=record.time_ms,
            )
            for record in view.history
        ]
        return build_json_answer(HistoryAnswer(versions=tuple(versions)))

    async def _show_claim(self, request: AdminRequest) -> AdminAnswer:
        key = request.argument
        return build_json_answer(
            build_claim_answer(key, await self._control.claim(key))
        )

    async def _propose(self, request: AdminRequest) -> AdminAnswer:
        try:
            change = ChangeRequest.model_validate_json(request.http.body)
        except ValidationError as error:
            return _build_invalid_body_answer(error)
        try:
            parse_fleet(change.content)
        except SettingsInvalid as error:
            write("config_invalid", author=change.author, change_id=change.change_id)
            return _build_invalid_content_answer(error)
        result = await self._control.propose(ConfigProposal(**change.model_dump()))
        write(
            "operator_changed_config",
            author=change.author,
            change_id=change.change_id,
            status=result.status.value,
            version=result.version,
        )
        answer = ChangeAnswer(
            change_id=result.change_id,
            status=result.status,
            version=result.version,
            author=result.author,
            detail=result.detail,
        )
        return build_json_answer(answer, STATUS_CODES[result.status])


def build_status_answer(view: ControlView, data_centre: str) -> StatusAnswer:
    """Build the answer of ``/status`` from the leader's view.

    :param data_centre: data centre of the host that answers. The view may lack that
        host, since it sends itself no heartbeats.
    """
    own_host = HostStatus(
        name=view.host,
        role="control",
        data_centre=data_centre,
        is_alive=True,
        config_version=view.current.version,
        silent_ms=0,
    )
    hosts = [
        HostStatus(
            name=host.host,
            role=host.role,
            data_centre=host.data_centre,
            is_alive=host.is_alive,
            is_leaving=host.is_leaving,
            config_version=host.config_version,
            silent_ms=host.silent_ms,
        )
        for host in view.hosts
        if host.host != view.host
    ]
    hosts = sorted([own_host, *hosts], key=lambda host: (host.role, host.name))
    replicas = [(replica, True) for replica in view.voters]
    replicas.extend([(replica, False) for replica in view.learners])
    return StatusAnswer(
        leader=view.leader,
        term=view.term,
        commit_index=view.commit_index,
        config_version=view.current.version,
        config_author=view.current.author,
        hosts=tuple(hosts),
        replicas=tuple(
            [
                ReplicaStatus(
                    host=replica.host,
                    incarnation=replica.incarnation,
                    is_voter=is_voter,
                )
                for replica, is_voter in replicas
            ]
        ),
        claims=view.claims,
        open_claims=view.open_claims,
    )


def build_claim_answer(key: str, record: ClaimRecord | None) -> ClaimAnswer:
    """Build the answer of ``/requests/KEY`` from a claim.

    :param record: the recorded claim, or None if there is none.
    """
    if record is None:
        return ClaimAnswer(key=key, state="unknown")
    claim = record.claim
    state = "resumed" if claim.is_resume_only else "held"
    answer = ClaimAnswer(
        key=key,
        state=state,
        request_id=record.request_id,
        holder_host=claim.holder_host,
        epoch=claim.epoch,
        upstream=claim.upstream,
        is_idempotent=claim.is_idempotent,
    )
    outcome = record.outcome
    if outcome is None:
        return answer
    return answer.model_copy(
        update={
            "state": "ended",
            "verdict": outcome.verdict.value,
            "reason": outcome.reason.value,
            "status_code": outcome.status_code,
        }
    )


def _with_not_leader_answer(page):
    async def answer(request: AdminRequest) -> AdminAnswer:
        try:
            return await page(request)
        except NotLeader as error:
            write("operator_read_failed", leader=error.leader)
            return _build_not_leader_answer(error.leader)

    return answer


def _build_not_leader_answer(leader: str) -> AdminAnswer:
    if leader:
        detail = f"ask the leader, {leader}"
        return build_problem_answer(
            HTTPStatus.MISDIRECTED_REQUEST, detail, leader=leader
        )
    retry_after = Header("retry-after", str(RETRY_AFTER_S))
    return build_problem_answer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "no leader with a quorum is known here",
        headers=(retry_after,),
    )


def _build_invalid_body_answer(error: ValidationError) -> AdminAnswer:
    faults = [
        FaultBody(
            section="",
            key=".".join([str(part) for part in detail["loc"]]),
            value="",
            reason=detail["msg"],
        )
        for detail in error.errors(include_input=False, include_url=False)
    ]
    return build_problem_answer(
        HTTPStatus.BAD_REQUEST, "the body is not a valid change", faults=tuple(faults)
    )


def _build_invalid_content_answer(error: SettingsInvalid) -> AdminAnswer:
    faults = [
        FaultBody(
            section=fault.section,
            key=fault.key,
            value=fault.value,
            reason=fault.reason,
        )
        for fault in error.faults
    ]
    return build_problem_answer(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        "the configuration is invalid",
        faults=tuple(faults),
    )
