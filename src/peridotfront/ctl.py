"""Program ``peridotfrontctl``: the operators' command line.

Exit codes: 0 done; 1 refused, or another change won; 2 wrong usage, settings or
file; 3 no host answered in time; 4 accepted, but not confirmed everywhere in time.
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
ROLE_MARKS = {
    "[callers]": "entry",
    "[storage]": "control",
    "[operator]": "ctl",
    "[standin]": "standin",
}

Result = TypeVar("Result")
Work = Callable[[OperatorClient], Awaitable[Result]]


class Session:
    """Runs commands against a deployment and prints what came of them.

    :param settings_file: path of the command line's settings.
    :param is_json: whether programs read the output.
    """

    def __init__(self, settings_file: str, is_json: bool):
        self.is_json = is_json
        self._settings_file = settings_file
        self._settings: CtlSettings | None = None

    @property
    def settings(self) -> CtlSettings:
        """Return the settings; read when they are first needed.

        :raises SettingsInvalid: with every fault.
        :raises UsageInvalid: if the file cannot be read.
        """
        if self._settings is None:
            text = read_file(self._settings_file)
            self._settings = load_ctl(text, self._settings_file)
        return self._settings

    def run(self, work: Work) -> Any:
        """Run work that asks hosts and return its result.

        :raises PeridotfrontError: what the work raises.
        """

        async def run_work() -> Any:
            async with self._client() as client:
                return await work(client)

        return asyncio.run(run_work())

    def _client(self) -> OperatorClient:
        try:
            return OperatorClient(self.settings)
        except OSError as error:
            raise UsageInvalid(f"[tls] ca_file: {error}") from error

    def show(self, body: Any, as_text: Callable[[Any], str]) -> None:
        """Print a body as JSON for programs or as text for people."""
        print(output.as_json(body) if self.is_json else as_text(body), flush=True)

    def note(self, text: str) -> None:
        """Print a line for people; programs are spared it."""
        print(text, file=sys.stderr if self.is_json else sys.stdout, flush=True)


class Change:
    """Proposes one change, repeats it safely and waits until it is in force.

    :param change_id: of an earlier try to repeat; empty draws a new one.
    :param wait_ms: for the confirmation of all live hosts; 0 does not wait.
    """

    def __init__(self, session: Session, change_id: str, wait_ms: str):
        self._session = session
        self._is_repeat = bool(change_id)
        self._change_id = change_id or new_change_id()
        self._wait_ms = read_number("wait_ms", wait_ms)

    def propose(self, base: ConfigAnswer, content: str) -> None:
        """Propose content that was made from a base version.

        :raises ChangeRefused: if it has faults or another change won.
        :raises ChangeUnconfirmed: if live hosts have not confirmed it in time.
        """
        parse_fleet(content)
        self._session.note(f"change id {self._change_id}")
        request = ChangeRequest(
            change_id=self._change_id,
            base_version=base.version,
            author=self._session.settings.operator.author,
            content=content,
        )
        self._session.run(lambda client: self._carry_out(client, request))

    def show_earlier(self) -> bool:
        """Show the outcome of an earlier try; tell whether it was accepted."""
        if not self._is_repeat:
            return False
        return self._session.run(self._look_up)

    async def _look_up(self, client: OperatorClient) -> bool:
        answer = await client.accepted(self._change_id)
        if answer is not None:
            await self._confirm(client, answer)
        return answer is not None

    async def _carry_out(self, client: OperatorClient, request: ChangeRequest) -> None:
        try:
            answer = await client.propose(request)
        except ControlUnavailable as error:
            hint = f"the outcome is unknown: repeat with --change_id {self._change_id}"
            raise ControlUnavailable(f"{error}; {hint}") from error
        if answer.status is ChangeStatus.ACCEPTED:
            await self._confirm(client, answer)
            return
        self._session.show(answer, output.change_text)
        if answer.status is ChangeStatus.CONFLICT:
            winner = await client.config()
            self._session.note(output.diff_text(winner, request.content, "yours"))
        raise ChangeRefused(answer.detail or answer.status.value)

    async def _confirm(self, client: OperatorClient, answer: ChangeAnswer) -> None:
        confirmation = Confirmation()
        if self._wait_ms:
            confirmation = await client.confirmation(answer.version, self._wait_ms)
        report = output.ChangeReport(
            **answer.model_dump(),
            is_confirmed=confirmation.is_complete,
            laggards=confirmation.laggards,
            silent=confirmation.silent + confirmation.unheard,
        )
        self._session.show(report, output.change_text)
        if self._wait_ms and not confirmation.is_complete:
            names = ", ".join(confirmation.laggards) or "the leader cannot be asked"
            raise ChangeUnconfirmed(f"not confirmed in time: {names}")


class ConfigCommands:
    """Reads and changes the configuration."""

    def __init__(self, session: Session):
        self._session = session

    @SetParseFn(str)
    def show(self, *, version: str = "") -> None:
        """Print the configuration; edit a copy and give it to ``config apply``.

        :param version: an older version that is still kept.
        """
        number = read_number("version", version) if version else None
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

        :param change_id: of an earlier try to repeat.
        :param wait_ms: for the confirmation of all live hosts.
        """
        change = Change(self._session, change_id, wait_ms)
        if change.show_earlier():
            return
        base = self._session.run(OperatorClient.config)
        content = set_value(base.content, section, key, value)
        if content == base.content:
            self._session.note(f"nothing to change in version {base.version}")
            return
        self._session.note(output.diff_text(base, content, "new"))
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
        """Propose a whole file.

        :param file: an edited copy of what ``config show`` printed.
        :param base_version: if the file does not name the version it came from.
        :param change_id: of an earlier try to repeat.
        :param wait_ms: for the confirmation of all live hosts.
        """
        edited = parse_config_file(read_file(file))
        version = edited.base_version
        if base_version:
            version = read_number("base_version", base_version)
        if version is None:
            raise UsageInvalid(
                f"{file} does not say which version it was made from: start from"
                " 'config show', or give --base_version"
            )
        parse_fleet(edited.content, source=file)
        change = Change(self._session, change_id, wait_ms)
        if change.show_earlier():
            return
        base = ConfigAnswer(version=version, change_id="", author="", content="")
        change.propose(base, edited.content)

    @SetParseFn(str)
    def diff(self, file: str) -> None:
        """Show what a file would change in the configuration in force."""
        edited = parse_config_file(read_file(file))
        parse_fleet(edited.content, source=file)
        base = self._session.run(OperatorClient.config)
        report = output.DiffReport(
            version=base.version,
            base_version=edited.base_version,
            diff=output.diff_text(base, edited.content, file),
        )
        self._session.show(report, output.diff_report_text)

    def history(self) -> None:
        """List the versions that are kept, newest last."""
        answer = self._session.run(OperatorClient.history)
        self._session.show(answer, output.history_text)


class InventoryCommands:
    """Takes upstreams over from an asset register."""

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
        :param yes: propose without asking.
        :param change_id: of an earlier try to repeat.
        :param wait_ms: for the confirmation of all live hosts.
        """
        columns = self._session.settings.columns
        register = read_register(read_file(file), file, columns)
        change = Change(self._session, change_id, wait_ms)
        if change.show_earlier():
            return
        base = self._session.run(OperatorClient.config)
        plan = plan_import(base.content, register)
        self._session.show(
            output.import_report(plan, register, base.version), output.import_text
        )
        if plan.is_empty:
            return
        parse_fleet(plan.content, source=file)
        if is_set(yes) or confirm_at_terminal():
            change.propose(base, plan.content)


class RequestCommands:
    """Looks up requests."""

    def __init__(self, session: Session):
        self._session = session

    @SetParseFn(str)
    def show(self, key: str) -> None:
        """Show what is on record of the request with a key.

        :param key: client account, service and idempotency key, joined.
        """
        answer = self._session.run(lambda client: client.claim(key))
        self._session.show(answer, output.claim_text)


class SettingsCommands:
    """Checks settings files without starting anything."""

    def __init__(self, session: Session):
        self._session = session

    @SetParseFn(str)
    def check(self, file: str, *, role: str = "") -> None:
        """Name every fault of a settings or configuration file.

        :param role: entry, control, ctl, standin or config; guessed if not given.
        """
        text = read_file(file)
        role = role or guess_role(text)
        if role not in LOADERS:
            raise UsageInvalid(f"--role must be one of {', '.join(LOADERS)}")
        if role == "config":
            text = parse_config_file(text).content
        LOADERS[role](text, file)
        report = output.CheckReport(file=file, role=role)
        self._session.show(report, output.check_text)


class Ctl:
    """Operates a peridotfront deployment.

    Exit codes: 0 done; 1 refused, or another change won; 2 wrong usage, settings
    or file; 3 no host answered in time; 4 accepted, but not confirmed everywhere
    in time.

    :param settings: path of the settings of this tool.
    :param json: print JSON for programs.
    """

    def __init__(self, *, settings: str = DEFAULT_SETTINGS, json: str = ""):
        self._session = Session(str(settings), is_set(str(json)))
        self.config = ConfigCommands(self._session)
        self.inventory = InventoryCommands(self._session)
        self.requests = RequestCommands(self._session)
        self.settings = SettingsCommands(self._session)

    def status(self) -> None:
        """Show the leader, the configuration version and every host."""
        answer = self._session.run(OperatorClient.status)
        self._session.show(answer, output.status_text)

    @SetParseFn(str)
    def watch(
        self,
        *,
        count: str = DEFAULT_WATCH_COUNT,
        interval_ms: str = DEFAULT_WATCH_INTERVAL_MS,
    ) -> None:
        """Show the status again and again.

        :param count: how often.
        :param interval_ms: between two.
        """
        rounds = read_number("count", count)
        pause_ms = read_number("interval_ms", interval_ms)
        self._session.run(lambda client: self._watch(client, rounds, pause_ms))

    async def _watch(self, client: OperatorClient, rounds: int, pause_ms: int) -> None:
        for number in range(1, rounds + 1):
            try:
                self._session.show(await client.status(), output.status_text)
            except ControlUnavailable as error:
                if number == rounds:
                    raise
                self._session.note(str(error))
            if number < rounds:
                await asyncio.sleep(pause_ms / 1000)

    def upstreams(self) -> None:
        """Show every upstream of the configuration and how it does."""
        base, reports = self._session.run(self._ask_upstreams)
        report = output.upstreams_report(base, reports)
        self._session.show(report, output.upstreams_text)

    @staticmethod
    async def _ask_upstreams(client: OperatorClient) -> tuple:
        return await client.config(), await client.upstreams()

    @SetParseFn(str)
    def drain(
        self, upstream: str, *, change_id: str = "", wait_ms: str = DEFAULT_WAIT_MS
    ) -> None:
        """Give an upstream no new work; what runs there ends in peace.

        :param change_id: of an earlier try to repeat.
        :param wait_ms: for the confirmation of all live hosts.
        """
        self._set_leaving(upstream, "true", Change(self._session, change_id, wait_ms))

    @SetParseFn(str)
    def undrain(
        self, upstream: str, *, change_id: str = "", wait_ms: str = DEFAULT_WAIT_MS
    ) -> None:
        """Give an upstream work again.

        :param change_id: of an earlier try to repeat.
        :param wait_ms: for the confirmation of all live hosts.
        """
        self._set_leaving(upstream, "false", Change(self._session, change_id, wait_ms))

    def _set_leaving(self, upstream: str, value: str, change: Change) -> None:
        if change.show_earlier():
            return
        base = self._session.run(OperatorClient.config)
        section = upstream_sections(base.content).get(upstream)
        if section is None:
            raise UsageInvalid(f"there is no [upstream {upstream}]")
        content = set_value(base.content, section, "is_leaving", value)
        if content == base.content:
            self._session.note(f"it is so already in version {base.version}")
            return
        change.propose(base, content)

    @SetParseFn(str)
    def explain(self, request_id: str, *files: str) -> None:
        """Follow one request through log files and say what became of it.

        :param request_id: the caller's id of the attempt, or the product's own.
        :param files: logs of any processes, one JSON object a line.
        """
        if not files:
            raise UsageInvalid("name at least one log file")
        found = explain(request_id, [read_file(file).splitlines() for file in files])
        for line in found.lines:
            print(line)
        print(found.verdict)

    @SetParseFn(str)
    def dump(self, host: str) -> None:
        """Print the state of one process as JSON."""
        print(self._session.run(lambda client: client.dump(host)).decode())


def read_file(path: str) -> str:
    """Return the text of a file.

    :raises UsageInvalid: if it cannot be read.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageInvalid(f"{path}: {error}") from error


def read_number(name: str, text: str) -> int:
    """Return a number of the command line.

    :raises UsageInvalid: if it is none.
    """
    if not text.isdecimal():
        raise UsageInvalid(f"--{name} must be a whole number, not {text!r}")
    return int(text)


def is_set(flag: str) -> bool:
    """Tell whether a flag of the command line was given."""
    return flag.lower() == "true"


def guess_role(text: str) -> str:
    """Tell from its sections what a file holds the settings of."""
    lines = {line.strip() for line in text.splitlines()}
    return next((ROLE_MARKS[mark] for mark in ROLE_MARKS if mark in lines), "config")


def confirm_at_terminal() -> bool:
    """Ask the operator; without a terminal the answer is no."""
    if not sys.stdin.isatty():
        print("nothing was proposed; repeat it with --yes", file=sys.stderr)
        return False
    return input("Propose this? [y/N] ").strip().lower() in ("y", "yes")


def spell_out(arguments: list[str]) -> list[str]:
    """Write flags without a value out, and ``import`` as the method's name."""
    words = []
    for word in arguments:
        if word in FLAGS:
            words.append(f"{word}=true")
        elif word == "import" and words[-1:] == ["inventory"]:
            words.append("import_")
        else:
            words.append(word)
    return words


def main(arguments: list[str] | None = None) -> None:
    """Read the command line, run the command and exit with its code."""
    given = sys.argv[1:] if arguments is None else arguments
    try:
        fire.Fire(Ctl, command=spell_out(given), name="peridotfrontctl")
    except PeridotfrontError as error:
        print(error, file=sys.stderr)
        raise SystemExit(exit_code_of(error)) from error
    except KeyboardInterrupt:
        raise SystemExit(UNAVAILABLE) from None


def exit_code_of(error: PeridotfrontError) -> int:
    """Return the exit code that stands for an error."""
    codes = (code for kind, code in EXIT_CODES.items() if isinstance(error, kind))
    return next(codes, REFUSED)


if __name__ == "__main__":
    main()
