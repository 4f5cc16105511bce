"""Program ``peridotfrontctl``: the operators' command line.

Exit codes: 0 success; 1 refused, or lost against a conflicting change; 2 invalid
usage, settings or file; 3 no host answered in time; 4 accepted, but not confirmed by
all live entry hosts in time.
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

import fire
from fire.decorators import SetParseFn

from . import ctl_output as output
from .admin_messages import ChangeAnswer, ChangeRequest, ConfigAnswer
from .config_file import parse_config_file, render_config_file
from .core.messages import ChangeStatus
from .ctl_settings import CtlSettings, load_ctl
from .exceptions import (
    ChangeRefused,
    ChangeUnconfirmed,
    ControlUnavailable,
    EditFailed,
    PeridotfrontError,
    SettingsInvalid,
    UsageInvalid,
)
from .explain import explain
from .fleet_config import parse_fleet
from .ids import new_change_id
from .ini_editor import set_value
from .inventory import plan_import, read_register, upstream_sections
from .operator_client import Confirmation, OperatorClient
from .settings import load_control, load_entry
from .standin_settings import load_standin

DONE = 0
REFUSED = 1
BAD_USAGE = 2
UNAVAILABLE = 3
UNCONFIRMED = 4
EXIT_CODES = {
    ChangeRefused: REFUSED,
    UsageInvalid: BAD_USAGE,
    SettingsInvalid: BAD_USAGE,
    EditFailed: BAD_USAGE,
    ControlUnavailable: UNAVAILABLE,
    ChangeUnconfirmed: UNCONFIRMED,
}
FLAGS = ("--json", "--yes")
DEFAULT_SETTINGS = "ctl.ini"
DEFAULT_WAIT_MS = "4000"
DEFAULT_WATCH_COUNT = "60"
DEFAULT_WATCH_INTERVAL_MS = "1000"
LOADERS = {
    "entry": load_entry,
    "control": load_control,
    "ctl": load_ctl,
    "standin": load_standin,
    "config": lambda text, source: parse_fleet(text, source=source),
}
ROLES_BY_SECTION = {
    "[callers]": "entry",
    "[storage]": "control",
    "[operator]": "ctl",
    "[standin]": "standin",
}

Result = TypeVar("Result")
Operation = Callable[[OperatorClient], Awaitable[Result]]


class Session:
    """Connection of a command to a deployment and to its output.

    :param settings_file: path of the command line's settings file.
    :param is_json: whether the output is JSON for programs.
    """

    def __init__(self, settings_file: str, is_json: bool):
        self.is_json = is_json
        self._settings_file = settings_file
        self._settings: CtlSettings | None = None

    @property
    def settings(self) -> CtlSettings:
        """Return the settings; the file is read on first use.

        :raises SettingsInvalid: with all invalid values.
        :raises UsageInvalid: if the file cannot be read.
        """
        if self._settings is None:
            text = read_file(self._settings_file)
            self._settings = load_ctl(text, self._settings_file)
        return self._settings

    def run(self, operation: Operation) -> Any:
        """Run an operation with a connected client and return its result.

        :raises PeridotfrontError: if the operation raises it.
        """

        async def run_operation() -> Any:
            async with self._client() as client:
                return await operation(client)

        return asyncio.run(run_operation())

    def _client(self) -> OperatorClient:
        try:
            return OperatorClient(self.settings)
        except OSError as error:
            raise UsageInvalid(f"[tls] ca_file: {error}") from error

    def show(self, body: Any, format_text: Callable[[Any], str]) -> None:
        """Print a body as JSON for programs or as text for operators."""
        print(output.to_json(body) if self.is_json else format_text(body), flush=True)

    def print_note(self, text: str) -> None:
        """Print a line for operators; to standard error if the output is JSON."""
        print(text, file=sys.stderr if self.is_json else sys.stdout, flush=True)


class ChangeProposal:
    """Proposal of one change, safe to repeat, that waits until it is in force.

    :param change_id: id of an earlier attempt to repeat; empty generates a new one.
    :param wait_ms: time limit for all live entry hosts to confirm; 0 does not wait.
    """

    def __init__(self, session: Session, change_id: str, wait_ms: str):
        self._session = session
        self._is_repeat = bool(change_id)
        self._change_id = change_id or new_change_id()
        self._wait_ms = parse_number("wait_ms", wait_ms)

    def propose(self, base: ConfigAnswer, content: str) -> None:
        """Propose content that was edited from a base version.

        :raises ChangeRefused: if a host refuses it, or another change was accepted
            first.
        :raises ChangeUnconfirmed: if live entry hosts have not confirmed it in time.
        :raises SettingsInvalid: if the content is invalid; nothing is proposed then.
        """
        parse_fleet(content)
        self._session.print_note(f"change id {self._change_id}")
        request = ChangeRequest(
            change_id=self._change_id,
            base_version=base.version,
            author=self._session.settings.operator.author,
            content=content,
        )
        self._session.run(lambda client: self._send_proposal(client, request))

    def show_earlier_outcome(self) -> bool:
        """Show the outcome of an earlier attempt.

        :return: whether an earlier attempt was accepted.
        """
        if not self._is_repeat:
            return False
        return self._session.run(self._look_up_outcome)

    async def _look_up_outcome(self, client: OperatorClient) -> bool:
        answer = await client.find_accepted(self._change_id)
        if answer is not None:
            await self._confirm(client, answer)
        return answer is not None

    async def _send_proposal(
        self, client: OperatorClient, request: ChangeRequest
    ) -> None:
        try:
            answer = await client.propose(request)
        except ControlUnavailable as error:
            hint = f"the outcome is unknown: repeat with --change_id {self._change_id}"
            raise ControlUnavailable(f"{error}; {hint}") from error
        if answer.status is ChangeStatus.ACCEPTED:
            await self._confirm(client, answer)
            return
        self._session.show(answer, output.format_change)
        if answer.status is ChangeStatus.CONFLICT:
            winning_config = await client.config()
            self._session.print_note(
                output.format_diff(winning_config, request.content, "yours")
            )
        raise ChangeRefused(answer.detail or answer.status.value)

    async def _confirm(self, client: OperatorClient, answer: ChangeAnswer) -> None:
        confirmation = Confirmation()
        if self._wait_ms:
            confirmation = await client.wait_for_confirmation(
                answer.version, self._wait_ms
            )
        report = output.ChangeReport(
            **answer.model_dump(),
            is_confirmed=confirmation.is_complete,
            laggards=confirmation.laggards,
            silent=confirmation.silent + confirmation.never_seen,
        )
        self._session.show(report, output.format_change)
        if self._wait_ms and not confirmation.is_complete:
            names = ", ".join(confirmation.laggards) or "the leader is unreachable"
            raise ChangeUnconfirmed(f"accepted, but not confirmed in time: {names}")


class ConfigCommands:
    """Commands that read and change the configuration."""

    def __init__(self, session: Session):
        self._session = session

    @SetParseFn(str)
    def show(self, *, version: str = "") -> None:
        """Print the configuration; pass an edited copy to ``config apply``.

        :param version: print this older version, if it is still kept.
        """
        number = parse_number("version", version) if version else None
        answer = self._session.run(lambda client: client.config(number))
        self._session.show(answer, render_config_file)

    @SetParseFn(str)
    def set(
        self,
        section: str,
        key: str,
        value: str,
        *,
        change_id: str = "",
        wait_ms: str = DEFAULT_WAIT_MS,
    ) -> None:
        """Set one value, such as ``config set policy max_queue_ms 20000``.

        :param change_id: id of an earlier attempt to repeat.
        :param wait_ms: time limit for all live entry hosts to confirm.
        """
        change = ChangeProposal(self._session, change_id, wait_ms)
        if change.show_earlier_outcome():
            return
        base = self._session.run(OperatorClient.config)
        content = set_value(base.content, section, key, value)
        if content == base.content:
            self._session.print_note(f"version {base.version} has this value already")
            return
        self._session.print_note(output.format_diff(base, content, "new"))
        change.propose(base, content)

    @SetParseFn(str)
    def apply(
        self,
        file: str,
        *,
        base_version: str = "",
        change_id: str = "",
        wait_ms: str = DEFAULT_WAIT_MS,
    ) -> None:
        """Propose the configuration in a file.

        :param file: an edited copy of the output of ``config show``.
        :param base_version: the version that was edited, if the file names none.
        :param change_id: id of an earlier attempt to repeat.
        :param wait_ms: time limit for all live entry hosts to confirm.
        """
        edited = parse_config_file(read_file(file))
        version = edited.base_version
        if base_version:
            version = parse_number("base_version", base_version)
        if version is None:
            raise UsageInvalid(
                f"{file} does not name its base version: start from the output of"
                " 'config show', or pass --base_version"
            )
        parse_fleet(edited.content, source=file)
        change = ChangeProposal(self._session, change_id, wait_ms)
        if change.show_earlier_outcome():
            return
        base = ConfigAnswer(version=version, change_id="", author="", content="")
        change.propose(base, edited.content)

    @SetParseFn(str)
    def diff(self, file: str) -> None:
        """Show the differences between a file and the configuration in force."""
        edited = parse_config_file(read_file(file))
        parse_fleet(edited.content, source=file)
        base = self._session.run(OperatorClient.config)
        report = output.DiffReport(
            version=base.version,
            base_version=edited.base_version,
            diff=output.format_diff(base, edited.content, file),
        )
        self._session.show(report, output.format_diff_report)

    def history(self) -> None:
        """List the versions that are kept, oldest first."""
        answer = self._session.run(OperatorClient.history)
        self._session.show(answer, output.format_history)


class InventoryCommands:
    """Commands that import upstreams from an asset register."""

    def __init__(self, session: Session):
        self._session = session

    @SetParseFn(str)
    def import_(
        self,
        file: str,
        *,
        yes: str = "",
        change_id: str = "",
        wait_ms: str = DEFAULT_WAIT_MS,
    ) -> None:
        """Show what a register adds, changes and removes; propose it with --yes.

        :param file: CSV or JSON; the columns are named in ``[register]``.
        :param yes: propose without asking for confirmation.
        :param change_id: id of an earlier attempt to repeat.
        :param wait_ms: time limit for all live entry hosts to confirm.
        """
        columns = self._session.settings.columns
        register = read_register(read_file(file), file, columns)
        change = ChangeProposal(self._session, change_id, wait_ms)
        if change.show_earlier_outcome():
            return
        base = self._session.run(OperatorClient.config)
        plan = plan_import(base.content, register)
        self._session.show(
            output.build_import_report(plan, register, base.version),
            output.format_import_report,
        )
        if plan.is_empty:
            return
        parse_fleet(plan.content, source=file)
        if is_flag_set(yes) or confirm_at_terminal():
            change.propose(base, plan.content)


class RequestCommands:
    """Commands that look up requests."""

    def __init__(self, session: Session):
        self._session = session

    @SetParseFn(str)
    def show(self, key: str) -> None:
        """Show the recorded claim and outcome of the request with a key.

        :param key: client account, service and idempotency key, joined.
        """
        answer = self._session.run(lambda client: client.claim(key))
        self._session.show(answer, output.format_claim)


class SettingsCommands:
    """Commands that check settings files without starting a program."""

    def __init__(self, session: Session):
        self._session = session

    @SetParseFn(str)
    def check(self, file: str, *, role: str = "") -> None:
        """Report every invalid value of a settings or configuration file.

        :param role: entry, control, ctl, standin or config; derived from the file's
            sections if not given.
        """
        text = read_file(file)
        role = role or guess_role(text)
        if role not in LOADERS:
            raise UsageInvalid(f"--role must be one of {', '.join(LOADERS)}")
        if role == "config":
            text = parse_config_file(text).content
        LOADERS[role](text, file)
        report = output.CheckReport(file=file, role=role)
        self._session.show(report, output.format_check_report)


class Ctl:
    """Command line that operates a peridotfront deployment.

    Exit codes: 0 success; 1 refused, or lost against a conflicting change; 2 invalid
    usage, settings or file; 3 no host answered in time; 4 accepted, but not confirmed
    by all live entry hosts in time.

    :param settings: path of this tool's settings file.
    :param json: print JSON for programs.
    """

    def __init__(self, *, settings: str = DEFAULT_SETTINGS, json: str = ""):
        self._session = Session(str(settings), is_flag_set(str(json)))
        self.config = ConfigCommands(self._session)
        self.inventory = InventoryCommands(self._session)
        self.requests = RequestCommands(self._session)
        self.settings = SettingsCommands(self._session)

    def status(self) -> None:
        """Show the leader, the configuration version and all hosts."""
        answer = self._session.run(OperatorClient.status)
        self._session.show(answer, output.format_status)

    @SetParseFn(str)
    def watch(
        self,
        *,
        count: str = DEFAULT_WATCH_COUNT,
        interval_ms: str = DEFAULT_WATCH_INTERVAL_MS,
    ) -> None:
        """Show the status repeatedly.

        :param count: number of times.
        :param interval_ms: pause between two requests.
        """
        rounds = parse_number("count", count)
        pause_ms = parse_number("interval_ms", interval_ms)
        self._session.run(lambda client: self._watch(client, rounds, pause_ms))

    async def _watch(self, client: OperatorClient, rounds: int, pause_ms: int) -> None:
        for number in range(1, rounds + 1):
            try:
                self._session.show(await client.status(), output.format_status)
            except ControlUnavailable as error:
                if number == rounds:
                    raise
                self._session.print_note(str(error))
            if number < rounds:
                await asyncio.sleep(pause_ms / 1000)

    def upstreams(self) -> None:
        """Show every upstream of the configuration with its current state."""
        base, reports = self._session.run(self._fetch_upstreams)
        report = output.build_upstreams_report(base, reports)
        self._session.show(report, output.format_upstreams)

    @staticmethod
    async def _fetch_upstreams(client: OperatorClient) -> tuple:
        return await client.config(), await client.upstreams()

    @SetParseFn(str)
    def drain(
        self, upstream: str, *, change_id: str = "", wait_ms: str = DEFAULT_WAIT_MS
    ) -> None:
        """Send an upstream no new requests; those in progress may finish.

        :param change_id: id of an earlier attempt to repeat.
        :param wait_ms: time limit for all live entry hosts to confirm.
        """
        self._set_leaving(
            upstream, "true", ChangeProposal(self._session, change_id, wait_ms)
        )

    @SetParseFn(str)
    def undrain(
        self, upstream: str, *, change_id: str = "", wait_ms: str = DEFAULT_WAIT_MS
    ) -> None:
        """Send an upstream new requests again.

        :param change_id: id of an earlier attempt to repeat.
        :param wait_ms: time limit for all live entry hosts to confirm.
        """
        self._set_leaving(
            upstream, "false", ChangeProposal(self._session, change_id, wait_ms)
        )

    def _set_leaving(self, upstream: str, value: str, change: ChangeProposal) -> None:
        if change.show_earlier_outcome():
            return
        base = self._session.run(OperatorClient.config)
        section = upstream_sections(base.content).get(upstream)
        if section is None:
            raise UsageInvalid(f"there is no [upstream {upstream}]")
        content = set_value(base.content, section, "is_leaving", value)
        if content == base.content:
            self._session.print_note(f"version {base.version} has this value already")
            return
        change.propose(base, content)

    @SetParseFn(str)
    def explain(self, request_id: str, *files: str) -> None:
        """Collect the log lines of one request and summarize its outcome.

        :param request_id: the id that the caller gave the attempt, or the id that
            peridotfront assigned.
        :param files: log files of any processes, with one JSON object per line.
        """
        if not files:
            raise UsageInvalid("at least one log file is required")
        explanation = explain(
            request_id, [read_file(file).splitlines() for file in files]
        )
        for line in explanation.lines:
            print(line)
        print(explanation.verdict)

    @SetParseFn(str)
    def dump(self, host: str) -> None:
        """Print the state of one process as JSON."""
        print(self._session.run(lambda client: client.dump(host)).decode())


def read_file(path: str) -> str:
    """Read a text file.

    :raises UsageInvalid: if it cannot be read.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageInvalid(f"{path}: {error}") from error


def parse_number(name: str, text: str) -> int:
    """Parse the value of a numeric flag.

    :raises UsageInvalid: if it is not a whole number.
    """
    if not text.isdecimal():
        raise UsageInvalid(f"--{name} must be a whole number, not {text!r}")
    return int(text)


def is_flag_set(flag: str) -> bool:
    """Return whether the value of a command-line flag is ``true``."""
    return flag.lower() == "true"


def guess_role(text: str) -> str:
    """Return the role of a file, judging by its sections; by default ``config``."""
    lines = {line.strip() for line in text.splitlines()}
    return next(
        (ROLES_BY_SECTION[section] for section in ROLES_BY_SECTION if section in lines),
        "config",
    )


def confirm_at_terminal() -> bool:
    """Ask the operator for confirmation; without a terminal the answer is no."""
    if not sys.stdin.isatty():
        print("nothing was proposed; repeat the command with --yes", file=sys.stderr)
        return False
    return input("Propose this? [y/N] ").strip().lower() in ("y", "yes")


def expand_flags(arguments: list[str]) -> list[str]:
    """Append ``=true`` to flags without a value; rename ``import`` to its method."""
    expanded = []
    for word in arguments:
        if word in FLAGS:
            expanded.append(f"{word}=true")
        elif word == "import" and expanded[-1:] == ["inventory"]:
            expanded.append("import_")
        else:
            expanded.append(word)
    return expanded


def main(arguments: list[str] | None = None) -> None:
    """Parse the command line, run the command and exit with its code."""
    command_line = sys.argv[1:] if arguments is None else arguments
    try:
        fire.Fire(Ctl, command=expand_flags(command_line), name="peridotfrontctl")
    except PeridotfrontError as error:
        print(error, file=sys.stderr)
        raise SystemExit(exit_code_of(error)) from error
    except KeyboardInterrupt:
        raise SystemExit(UNAVAILABLE) from None


def exit_code_of(error: PeridotfrontError) -> int:
    """Return the exit code for an error."""
    codes = (code for kind, code in EXIT_CODES.items() if isinstance(error, kind))
    return next(codes, REFUSED)


if __name__ == "__main__":
    main()
