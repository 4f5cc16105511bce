"""Exceptions of peridotfront; all share the root :class:`PeridotfrontError`."""

from .core.verdicts import Reason, Refusal, Verdict

"""All exceptions of peridotfront, under one root."""


class PeridotfrontError(Exception):
    """Is the root of all exceptions of peridotfront."""


class SettingsInvalid(PeridotfrontError):
    """Reports every fault of a settings or configuration file at once.

    :param faults: one :class:`~peridotfront.ini.Fault` for each bad value.
    """

    exit_code = 2

    def __init__(self, source: str, faults: tuple):
        self.source = source
        self.faults = faults
        lines = [f"{source}: {fault}" for fault in faults]
        super().__init__("\n".join(lines))


class LogEventUnknown(PeridotfrontError):
    """Reports a log event that the catalogue does not list."""


class CallerGone(PeridotfrontError):
    """Signals that the caller's connection is closed and takes no more data."""


class InvalidRequest(PeridotfrontError):
    """Signals a request of a caller that cannot be understood; it did not run."""

    verdict = Verdict.NOT_RUN
    reason = Reason.INVALID_REQUEST


class UpstreamError(PeridotfrontError):
    """Signals a call to an upstream that brought no whole answer.

    :param detail: what happened, for the log.
    :param address: the upstream's IP number and port.
    """

    verdict = Verdict.MAY_HAVE_RUN
    reason = Reason.UPSTREAM_ERROR

    def __init__(self, detail: str = "", address: str = ""):
        super().__init__(detail)
        self.detail = detail
        self.address = address


class ConnectFailed(UpstreamError):
    """Signals that not one byte of the request was handed to a socket."""

    verdict = Verdict.NOT_RUN
    reason = Reason.NO_UPSTREAM


class UpstreamDied(UpstreamError):
    """Signals a connection that closed after bytes of the request were sent.

    :param on_reused_connection: whether an earlier request had used the connection.
    """

    reason = Reason.UPSTREAM_DIED

    def __init__(
        self, detail: str = "", address: str = "", on_reused_connection: bool = False
    ):
        super().__init__(detail, address)
        self.on_reused_connection = on_reused_connection


class UpstreamTimedOut(UpstreamError):
    """Signals an upstream that was silent for longer than allowed."""

    reason = Reason.UPSTREAM_TIMEOUT


class AnswerTooLarge(UpstreamError):
    """Signals an answer longer than the reader allows."""


class AnswerTruncated(UpstreamError):
    """Signals an answer that began and ended before it was whole."""

    reason = Reason.UPSTREAM_DIED


class AnswerMalformed(UpstreamError):
    """Signals an answer that is no valid HTTP, or not what the API promises."""


class NotLeader(PeridotfrontError):
    """Signals that another control host must be asked.

    :param leader: the leader's host name; empty if none is known.
    """

    def __init__(self, leader: str = ""):
        super().__init__(f"the leader is {leader or 'not known'}")
        self.leader = leader


class AnswerDiscarded(PeridotfrontError):
    """Signals that the wanted part of an answer is no longer kept."""


class RequestRefused(PeridotfrontError):
    """Signals a request that is refused at the border; it did not run.

    :param status_code: the HTTP status for the caller.
    :param refusal: what the caller is told.
    """

    def __init__(self, status_code: int, refusal: Refusal):
        super().__init__(refusal.detail or refusal.reason.value)
        self.status_code = status_code
        self.refusal = refusal


class StorageFailed(PeridotfrontError):
    """A write or a sync failed; nothing more may be acknowledged."""


class DataFolderLocked(PeridotfrontError):
    """Another process holds the data folder."""


class StorageDamaged(PeridotfrontError):
    """A file in the data folder is damaged other than by a torn last write.

    :param file: path of the damaged file.
    :param offset_bytes: where the damage begins.
    :param detail: what is wrong there.
    """

    def __init__(self, file: str, offset_bytes: int, detail: str) -> None:
        super().__init__(f"{file} is damaged at byte {offset_bytes}: {detail}")
        self.file = file
        self.offset_bytes = offset_bytes
        self.detail = detail


class CommittedEntryConflict(PeridotfrontError):
    """A leader contradicts an entry that is committed here."""


class EditFailed(PeridotfrontError):
    """Signals INI text that could not be edited without a side effect."""


class OperatorError(PeridotfrontError):
    """Is the root of what ends an operator's command without success."""


class ChangeRefused(OperatorError):
    """Signals a change that was refused or lost against another one."""


class UsageInvalid(OperatorError):
    """Signals a command whose arguments or files cannot be used."""


class ControlUnavailable(OperatorError):
    """Signals that no host answered in time."""


class ChangeUnconfirmed(OperatorError):
    """Signals an accepted change that is not yet in force on every live host."""
