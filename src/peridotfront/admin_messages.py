"""JSON bodies of the admin address, as programs and the command line read them."""

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

from .core.messages import ChangeStatus

MAX_CONTENT_CHARACTERS = 4_194_304
Word = Annotated[str, StringConstraints(pattern=r"^[\x21-\x7e]{1,128}$")]
Author = Annotated[str, StringConstraints(min_length=1, max_length=128)]
Content = Annotated[str, StringConstraints(max_length=MAX_CONTENT_CHARACTERS)]


class Body(BaseModel):
    """Is the base of all bodies; unknown fields of newer releases are ignored."""

    model_config = ConfigDict(frozen=True)


class FaultBody(Body):
    """Names one bad value of a configuration."""

    section: str
    key: str
    value: str
    reason: str


class ProblemBody(Body):
    """Tells why a request on the admin address was refused.

    :param leader: the host to ask instead; empty if it is not known.
    :param faults: every bad value of a refused configuration.
    """

    title: str
    status: int
    detail: str = ""
    leader: str = ""
    faults: tuple[FaultBody, ...] = ()


class ChangeRequest(BaseModel):
    """Proposes a configuration.

    :param change_id: drawn by the operator; a repeat gets the first outcome.
    :param base_version: the version that the operator edited.
    :param content: the whole new configuration as INI text.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    change_id: Word
    base_version: int = Field(ge=0)
    author: Author
    content: Content


class ChangeAnswer(Body):
    """Tells what became of a proposed configuration.

    :param version: the accepted version, or the current one after a conflict.
    :param author: who made that version.
    """

    change_id: str
    status: ChangeStatus
    version: int
    author: str = ""
    detail: str = ""


class ConfigAnswer(Body):
    """Holds the configuration in force."""

    version: int
    change_id: str
    author: str
    content: str


class ConfigVersion(Body):
    """Names one version of the configuration.

    :param time_ms: when it was accepted, by the clock of the leader.
    """

    version: int
    change_id: str
    author: str
    time_ms: int


class HistoryAnswer(Body):
    """Lists the versions that are kept, oldest first."""

    versions: tuple[ConfigVersion, ...]


class HostStatus(Body):
    """Describes one host as the leader sees it.

    :param silent_ms: since its last heartbeat; -1 if there was none.
    :param config_version: the version that it has confirmed.
    """

    name: str
    role: str
    data_centre: str
    is_alive: bool
    is_leaving: bool = False
    config_version: int = 0
    silent_ms: int = -1


class ReplicaStatus(Body):
    """Describes one replica of the control group.

    :param incarnation: of its data folder.
    """

    host: str
    incarnation: int
    is_voter: bool


class StatusAnswer(Body):
    """Describes the whole deployment as the leader sees it."""

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
    """Tells what is on record of one request.

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
    """Describes one upstream as the scheduler of its cell sees it.

    :param health: ``healthy``, ``suspect``, ``down``, ``probing`` or ``ramping``.
    :param running: requests that hold a slot there.
    :param limit_slots: how many may hold one, as learned.
    :param backlog_ms: prefill that stands before a new request.
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
    """Lists the upstreams whose cells one entry host schedules."""

    host: str
    upstreams: tuple[UpstreamStatus, ...] = ()
