"""JSON bodies of the admin address, read by programs and the command line."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

from .core.messages import ChangeStatus

MAX_CONTENT_CHARACTERS = 4_194_304
Word = Annotated[str, StringConstraints(pattern=r"^[\x21-\x7e]{1,128}$")]
Author = Annotated[str, StringConstraints(min_length=1, max_length=128)]
Content = Annotated[str, StringConstraints(max_length=MAX_CONTENT_CHARACTERS)]


class Body(BaseModel):
    """Base class of all response bodies; ignores unknown fields of newer releases."""

    model_config = ConfigDict(frozen=True)


class FaultBody(Body):
    """Invalid value of a configuration, by section and key."""

    section: str
    key: str
    value: str
    reason: str


class ProblemBody(Body):
    """Reason why a request on the admin address was refused.

    :param leader: the host to ask instead; empty if no leader is known.
    :param faults: all invalid values of a refused configuration.
    """

    title: str
    status: int
    detail: str = ""
    leader: str = ""
    faults: tuple[FaultBody, ...] = ()


class ChangeRequest(BaseModel):
    """Proposal of a new configuration.

    :param change_id: id chosen by the operator's client; a repeated request with
        the same id gets the outcome of the first.
    :param base_version: the version that the operator edited.
    :param content: the complete new configuration as INI text.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    change_id: Word
    base_version: int = Field(ge=0)
    author: Author
    content: Content


class ChangeAnswer(Body):
    """Outcome of a proposed configuration.

    :param version: the accepted version, or the current one after a conflict.
    :param author: author of that version.
    """

    change_id: str
    status: ChangeStatus
    version: int
    author: str = ""
    detail: str = ""


class ConfigAnswer(Body):
    """One version of the configuration with its content."""

    version: int
    change_id: str
    author: str
    content: str


class ConfigVersion(Body):
    """Metadata of one version of the configuration.

    :param time_ms: when it was accepted, by the wall clock of the leader.
    """

    version: int
    change_id: str
    author: str
    time_ms: int


class HistoryAnswer(Body):
    """Versions that are kept, oldest first."""

    versions: tuple[ConfigVersion, ...]


class HostStatus(Body):
    """State of one host as seen by the leader.

    :param silent_ms: time since its last heartbeat; -1 if there was none.
    :param config_version: the configuration version that it has confirmed.
    """

    name: str
    role: str
    data_centre: str
    is_alive: bool
    is_leaving: bool = False
    config_version: int = 0
    silent_ms: int = -1


class ReplicaStatus(Body):
    """Replica of the control group.

    :param incarnation: incarnation of its data folder.
    """

    host: str
    incarnation: int
    is_voter: bool


class StatusAnswer(Body):
    """State of the whole deployment as seen by the leader."""

    leader: str
    term: int
    commit_index: int
    config_version: int
    config_author: str
    hosts: tuple[HostStatus, ...] = ()
    replicas: tuple[ReplicaStatus, ...] = ()
    claims: int = 0
    open_claims: int = 0


class ClaimAnswer(Body):
    """Claim and outcome that are recorded for one request key.

    :param key: client account, service and idempotency key, joined.
    :param state: ``unknown``, ``held``, ``resumed`` or ``ended``.
    """

    key: str
    state: str
    request_id: str = ""
    holder_host: str = ""
    epoch: int = 0
    upstream: str = ""
    is_idempotent: bool = False
    verdict: str = ""
    reason: str = ""
    status_code: int = 0


class UpstreamStatus(Body):
    """State of one upstream as seen by the scheduler of its cell.

    :param health: ``healthy``, ``suspect``, ``down``, ``probing`` or ``ramping``.
    :param running: requests that hold a slot there.
    :param limit_slots: learned limit on the number of such requests.
    :param backlog_ms: prefill time queued ahead of a new request.
    """

    name: str
    cell: str
    health: str
    is_leaving: bool
    running: int = 0
    limit_slots: int = 0
    backlog_ms: int = 0
    used_kv_tokens: int = 0


class UpstreamsAnswer(Body):
    """Upstreams whose cells one entry host schedules."""

    host: str
    upstreams: tuple[UpstreamStatus, ...] = ()
