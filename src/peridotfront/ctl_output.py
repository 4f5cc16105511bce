"""What the command line prints: JSON for programs, tables for people."""

import difflib
from datetime import UTC, datetime

from pydantic import BaseModel

from .admin_messages import (
    Body,
    ChangeAnswer,
    ClaimAnswer,
    ConfigAnswer,
    HistoryAnswer,
    HostStatus,
    StatusAnswer,
    UpstreamsAnswer,
)
from .fleet_config import parse_fleet
from .inventory import ImportPlan, Register
from .text_table import format_table

UNKNOWN = "unknown"


class ChangeReport(ChangeAnswer):
    """Tells what became of a change, and which hosts run with it.

    :param is_confirmed: whether every live entry host does.
    :param laggards: live entry hosts that don't yet.
    :param silent: hosts that are not alive; they learn it when they are back.
    """

    is_confirmed: bool = False
    laggards: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()


class DiffReport(Body):
    """Tells how a file differs from the configuration in force.

    :param base_version: the version that the file was made from.
    """

    version: int
    base_version: int | None
    diff: str


class AddedUpstream(Body):
    """Is an upstream that an import adds."""

    name: str
    values: dict[str, str]


class ChangedKey(Body):
    """Is a value that an import changes."""

    upstream: str
    key: str
    old: str
    new: str


class ImportReport(Body):
    """Tells what an import would do to a version of the configuration."""

    base_version: int
    additions: tuple[AddedUpstream, ...] = ()
    changes: tuple[ChangedKey, ...] = ()
    removals: tuple[str, ...] = ()
    ignored_columns: tuple[str, ...] = ()


class CheckReport(Body):
    """Tells that a file has no fault."""

    file: str
    role: str


class UpstreamLine(Body):
    """Describes an upstream of the configuration and its state.

    :param health: as its scheduler sees it; ``unknown`` if none answers.
    :param scheduler: the entry host that says so.
    """

    name: str
    kind: str
    data_centre: str
    address: str
    is_leaving: bool
    health: str = UNKNOWN
    running: int = 0
    limit_slots: int = 0
    backlog_ms: int = 0
    scheduler: str = ""


class UpstreamsReport(Body):
    """Lists all upstreams of the configuration."""

    version: int
    upstreams: tuple[UpstreamLine, ...]


def as_json(body: BaseModel) -> str:
    """Return a body as one line of JSON."""
    return body.model_dump_json()


def status_text(status: StatusAnswer) -> str:
    """Return the status for people."""
    head = (
        f"leader {status.leader or UNKNOWN}, term {status.term},"
        f" configuration {status.config_version}"
    )
    if status.config_author:
        head += f" by {status.config_author}"
    rows = [
        (
            host.name,
            host.role,
            host.data_centre,
            _host_state(host),
            host.config_version,
            host.silent_ms,
        )
        for host in status.hosts
    ]
    headings = (
        "HOST",
        "ROLE",
        "DATA CENTRE",
        "STATE",
        "CONFIGURATION",
        "SILENT MS",
    )
    replicas = [
        f"{replica.host} ({'voter' if replica.is_voter else 'learner'})"
        for replica in status.replicas
    ]
    return "\n".join(
        [
            head,
            f"control group: {', '.join(replicas) or UNKNOWN}",
            f"claims {status.claims}, without outcome {status.open_claims}",
            format_table(headings, rows),
        ]
    )


def _host_state(host: HostStatus) -> str:
    if not host.is_alive:
        return "silent"
    return "leaving" if host.is_leaving else "alive"


def change_text(change: ChangeAnswer) -> str:
    """Return the outcome of a change for people."""
    line = f"{change.status.value}: version {change.version} by {change.author}"
    if change.detail:
        line += f" ({change.detail})"
    if not isinstance(change, ChangeReport):
        return line
    lines = [line]
    if change.is_confirmed:
        lines.append("in force on every live entry host")
    if change.laggards:
        lines.append(f"not confirmed by: {', '.join(change.laggards)}")
    if change.silent:
        lines.append(f"silent, told when back: {', '.join(change.silent)}")
    return "\n".join(lines)


def history_text(history: HistoryAnswer) -> str:
    """Return the versions that are kept for people."""
    rows = [
        (v.version, _time_text(v.time_ms), v.author, v.change_id)
        for v in history.versions
    ]
    return format_table(("VERSION", "TIME", "AUTHOR", "CHANGE ID"), rows)


def _time_text(time_ms: int) -> str:
    try:
        return datetime.fromtimestamp(time_ms / 1000, UTC).isoformat(" ", "seconds")
    except (OverflowError, OSError, ValueError):
        return UNKNOWN


def claim_text(claim: ClaimAnswer) -> str:
    """Return what is on record of a request for people."""
    rows = [(name, value) for name, value in claim if value not in ("", 0)]
    return format_table(("FIELD", "VALUE"), rows)


def diff_text(base: ConfigAnswer, content: str, name: str) -> str:
    """Return a unified diff from a version of the configuration to content."""
    lines = difflib.unified_diff(
        base.content.splitlines(),
        content.splitlines(),
        f"version {base.version} by {base.author}",
        name,
        lineterm="",
    )
    return "\n".join(lines)


def diff_report_text(report: DiffReport) -> str:
    """Return how a file differs for people."""
    lines = [report.diff or f"no difference from version {report.version}"]
    if report.base_version not in (None, report.version):
        lines.append(
            f"made from version {report.base_version};"
            f" version {report.version} is in force, so 'apply' will be refused"
        )
    return "\n".join(lines)


def import_report(plan: ImportPlan, register: Register, version: int) -> ImportReport:
    """Return what an import would do."""
    additions = [
        AddedUpstream(name=entry.name, values={v.key: v.text for v in entry.values})
        for entry in plan.additions
    ]
    changes = [
        ChangedKey(upstream=c.upstream, key=c.key, old=c.old, new=c.new)
        for c in plan.changes
    ]
    return ImportReport(
        base_version=version,
        additions=tuple(additions),
        changes=tuple(changes),
        removals=plan.removals,
        ignored_columns=register.ignored_columns,
    )


def import_text(report: ImportReport) -> str:
    """Return what an import would do for people."""
    rows: list[tuple] = []
    for added in report.additions:
        values = " ".join([f"{key}={text}" for key, text in added.values.items()])
        rows.append(("add", added.name, values))
    for change in report.changes:
        text = f"{change.key}: {change.old or '(not set)'} -> {change.new}"
        rows.append(("change", change.upstream, text))
    rows.extend([("remove", name, "") for name in report.removals])
    lines = [f"against version {report.base_version}:"]
    if rows:
        lines.append(format_table(("", "UPSTREAM", "VALUES"), rows))
    else:
        lines.append("register and configuration agree")
    if report.ignored_columns:
        lines.append(f"ignored columns: {', '.join(report.ignored_columns)}")
    return "\n".join(lines)


def check_text(report: CheckReport) -> str:
    """Return that a file has no fault for people."""
    return f"{report.file}: no fault ({report.role})"


def upstreams_report(
    base: ConfigAnswer, answers: tuple[UpstreamsAnswer, ...]
) -> UpstreamsReport:
    """Join the configuration with what the entry hosts say."""
    states = {
        upstream.name: (answer.host, upstream)
        for answer in answers
        for upstream in answer.upstreams
    }
    lines = []
    for spec in parse_fleet(base.content).upstreams:
        line = UpstreamLine(
            name=spec.name,
            kind=spec.kind.value,
            data_centre=spec.data_centre,
            address=spec.address,
            is_leaving=spec.is_leaving,
        )
        if spec.name in states:
            host, state = states[spec.name]
            line = line.model_copy(
                update={
                    "health": state.health,
                    "is_leaving": spec.is_leaving or state.is_leaving,
                    "running": state.running,
                    "limit_slots": state.limit_slots,
                    "backlog_ms": state.backlog_ms,
                    "scheduler": host,
                }
            )
        lines.append(line)
    return UpstreamsReport(version=base.version, upstreams=tuple(lines))


def upstreams_text(report: UpstreamsReport) -> str:
    """Return all upstreams for people."""
    headings = (
        "UPSTREAM",
        "KIND",
        "DATA CENTRE",
        "ADDRESS",
        "HEALTH",
        "LEAVING",
        "RUNNING",
        "SLOTS",
        "BACKLOG MS",
        "SCHEDULER",
    )
    rows = [
        (
            line.name,
            line.kind,
            line.data_centre,
            line.address,
            line.health,
            line.is_leaving,
            line.running,
            line.limit_slots,
            line.backlog_ms,
            line.scheduler,
        )
        for line in report.upstreams
    ]
    return format_table(headings, rows)
