"""Output of the command line: JSON for programs, tables for operators."""

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
    """Outcome of a change, with the hosts that have confirmed it.

    :param is_confirmed: whether every live entry host has confirmed it.
    :param laggards: live entry hosts that have not confirmed it.
    :param silent: hosts that are not alive; they get it when they are back.
    """

    is_confirmed: bool = False
    laggards: tuple[str, ...] = ()
    silent: tuple[str, ...] = ()


class DiffReport(Body):
    """Differences between the configuration in force and a file.

    :param base_version: the version that the file was edited from; None if the file
        names none.
    """

    version: int
    base_version: int | None
    diff: str


class AddedUpstream(Body):
    """Upstream that an import adds."""

    name: str
    values: dict[str, str]


class ChangedKey(Body):
    """Value that an import changes."""

    upstream: str
    key: str
    old: str
    new: str


class ImportReport(Body):
    """Changes that an import would make to a version of the configuration."""

    base_version: int
    additions: tuple[AddedUpstream, ...] = ()
    changes: tuple[ChangedKey, ...] = ()
    removals: tuple[str, ...] = ()
    ignored_columns: tuple[str, ...] = ()


class CheckReport(Body):
    """Result of checking a file without faults."""

    file: str
    role: str


class UpstreamLine(Body):
    """Upstream of the configuration with its current state.

    :param health: health as seen by its scheduler; ``unknown`` if none answers.
    :param scheduler: the entry host that schedules the upstream.
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
    """All upstreams of the configuration."""

    version: int
    upstreams: tuple[UpstreamLine, ...]


def to_json(body: BaseModel) -> str:
    """Serialize a body as one line of JSON."""
    return body.model_dump_json()


def format_status(status: StatusAnswer) -> str:
    """Format the status of a deployment as text."""
    summary = (
        f"leader {status.leader or UNKNOWN}, term {status.term},"
        f" configuration {status.config_version}"
    )
    if status.config_author:
        summary += f" by {status.config_author}"
    rows = [
        (
            host.name,
            host.role,
            host.data_centre,
            _format_host_state(host),
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
            summary,
            f"control group: {', '.join(replicas) or UNKNOWN}",
            f"claims {status.claims}, without outcome {status.open_claims}",
            format_table(headings, rows),
        ]
    )


def _format_host_state(host: HostStatus) -> str:
    if not host.is_alive:
        return "silent"
    return "leaving" if host.is_leaving else "alive"


def format_change(change: ChangeAnswer) -> str:
    """Format the outcome of a change as text."""
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
        lines.append(f"not alive, get it when back: {', '.join(change.silent)}")
    return "\n".join(lines)


def format_history(history: HistoryAnswer) -> str:
    """Format the versions that are kept as a table."""
    rows = [
        (v.version, _format_time(v.time_ms), v.author, v.change_id)
        for v in history.versions
    ]
    return format_table(("VERSION", "TIME", "AUTHOR", "CHANGE ID"), rows)


def _format_time(time_ms: int) -> str:
    try:
        return datetime.fromtimestamp(time_ms / 1000, UTC).isoformat(" ", "seconds")
    except (OverflowError, OSError, ValueError):
        return UNKNOWN


def format_claim(claim: ClaimAnswer) -> str:
    """Format the recorded claim and outcome of a request as a table."""
    rows = [(name, value) for name, value in claim if value not in ("", 0)]
    return format_table(("FIELD", "VALUE"), rows)


def format_diff(base: ConfigAnswer, content: str, name: str) -> str:
    """Format a unified diff from a version of the configuration to new content."""
    lines = difflib.unified_diff(
        base.content.splitlines(),
        content.splitlines(),
        f"version {base.version} by {base.author}",
        name,
        lineterm="",
    )
    return "\n".join(lines)


def format_diff_report(report: DiffReport) -> str:
    """Format the differences of a file as text."""
    lines = [report.diff or f"no difference from version {report.version}"]
    if report.base_version not in (None, report.version):
        lines.append(
            f"edited from version {report.base_version};"
            f" version {report.version} is in force, so 'apply' will be refused"
        )
    return "\n".join(lines)


def build_import_report(
    plan: ImportPlan, register: Register, version: int
) -> ImportReport:
    """Build the report of what an import would change."""
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


def format_import_report(report: ImportReport) -> str:
    """Format what an import would change as text."""
    rows: list[tuple] = []
    for addition in report.additions:
        values = " ".join([f"{key}={text}" for key, text in addition.values.items()])
        rows.append(("add", addition.name, values))
    for change in report.changes:
        text = f"{change.key}: {change.old or '(not set)'} -> {change.new}"
        rows.append(("change", change.upstream, text))
    rows.extend([("remove", name, "") for name in report.removals])
    lines = [f"compared with version {report.base_version}:"]
    if rows:
        lines.append(format_table(("", "UPSTREAM", "VALUES"), rows))
    else:
        lines.append("register and configuration agree")
    if report.ignored_columns:
        lines.append(f"ignored columns: {', '.join(report.ignored_columns)}")
    return "\n".join(lines)


def format_check_report(report: CheckReport) -> str:
    """Format the result of checking a file without faults."""
    return f"{report.file}: valid ({report.role})"


def build_upstreams_report(
    base: ConfigAnswer, answers: tuple[UpstreamsAnswer, ...]
) -> UpstreamsReport:
    """Merge the configured upstreams with the states that the entry hosts report."""
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


def format_upstreams(report: UpstreamsReport) -> str:
    """Format all upstreams as a table."""
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
