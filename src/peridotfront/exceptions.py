"""Exceptions of peridotfront; all derive from :class:`PeridotfrontError`."""

from google.protobuf.message import DecodeError

from .core.verdicts import Reason, Refusal, Verdict


class PeridotfrontError(Exception):
    """Base class of all exceptions of peridotfront."""


class SettingsInvalid(PeridotfrontError):
    """Settings or configuration file with invalid values, all in one report.

    :param source: name of the file or text, for messages.
    :param faults: one :class:`~peridotfront.ini.Fault` for each invalid value.
    """

    exit_code = 2

    def __init__(self, source: str, faults: tuple):
        self.source = source
        self.faults = faults
        lines = [f"{source}: {fault}" for fault in faults]
        super().__init__("\n".join(lines))


class LogEventUnknown(PeridotfrontError):
    """Log event that the catalogue does not list."""


class MessageUnknown(PeridotfrontError, DecodeError):
    """Message of a newer build, with a kind or value that this one doesn't know."""


class MessageUnwritable(PeridotfrontError):
    """Message with a text or number that the encoding can't hold."""


class CallerGone(PeridotfrontError):
    """Connection that the caller has closed; it accepts no more data."""


class InvalidRequest(PeridotfrontError):
    """Malformed request of a caller; it was not executed."""

    verdict = Verdict.NOT_RUN
    reason = Reason.INVALID_REQUEST


class UpstreamError(PeridotfrontError):
    """Call to an upstream that got no complete answer.

    :param detail: description of the failure, for the log.
    :param address: the upstream's IP address and port.
    """

    verdict = Verdict.MAY_HAVE_RUN
    reason = Reason.UPSTREAM_ERROR

    def __init__(self, detail: str = "", address: str = ""):
        super().__init__(detail)
        self.detail = detail
        self.address = address


class ConnectFailed(UpstreamError):
    """Connection failure before any byte of the request was written to a socket."""

    verdict = Verdict.NOT_RUN
    reason = Reason.NO_UPSTREAM


class RelayUnreachable(ConnectFailed):
    """Entry host that could not be reached to relay a request to an upstream."""


class RelayLost(UpstreamError):
    """Connection through another entry host that broke between the two hosts."""

    reason = Reason.UPSTREAM_DIED


class UpstreamDied(UpstreamError):
    """Connection closed by the upstream after bytes of the request were sent.

    :param on_reused_connection: whether an earlier request had used the connection.
    """

    reason = Reason.UPSTREAM_DIED

    def __init__(
        self, detail: str = "", address: str = "", on_reused_connection: bool = False
    ):
        super().__init__(detail, address)
        self.on_reused_connection = on_reused_connection


class UpstreamTimedOut(UpstreamError):
    """Upstream that sent nothing for longer than its time limit."""

    reason = Reason.UPSTREAM_TIMEOUT


class AnswerTooLarge(UpstreamError):
    """Answer that is larger than the reader's limit."""


class AnswerTruncated(UpstreamError):
    """Answer that ended before it was complete."""

    reason = Reason.UPSTREAM_DIED


class AnswerMalformed(UpstreamError):
    """Answer that is not valid HTTP, or violates the API's contract."""


class UpstreamRefused(UpstreamError):
    """Answer whose status promises that the request did not run, without proof.

    :param status_code: HTTP status of the answer.
    """

    def __init__(self, status_code: int, address: str = ""):
        super().__init__(f"the upstream answered {status_code}", address)
        self.status_code = status_code


class NotLeader(PeridotfrontError):
    """Request to a control host that cannot act as the leader.

    :param leader: the leader's host name; empty if none is known.
    """

    def __init__(self, leader: str = ""):
        super().__init__(f"the leader is {leader or 'not known'}")
        self.leader = leader


class AnswerDiscarded(PeridotfrontError):
    """Requested part of an answer that is no longer buffered."""


class RequestRefused(PeridotfrontError):
    """Request that is refused on arrival, without being sent.

    :param status_code: HTTP status for the caller.
    :param refusal: refusal that the caller gets.
    """

    def __init__(self, status_code: int, refusal: Refusal):
        super().__init__(refusal.detail or refusal.reason.value)
        self.status_code = status_code
        self.refusal = refusal


class StorageFailed(PeridotfrontError):
    """Failed write or sync, after which nothing more may be acknowledged."""


class DataFolderLocked(PeridotfrontError):
    """Data folder that is locked by another process."""


class StorageDamaged(PeridotfrontError):
    """File in the data folder that is damaged other than by a torn last write.

    :param file: path of the damaged file.
    :param offset_bytes: offset at which the damage begins.
    :param detail: description of the damage.
    """

    def __init__(self, file: str, offset_bytes: int, detail: str) -> None:
        super().__init__(f"{file} is damaged at byte {offset_bytes}: {detail}")
        self.file = file
        self.offset_bytes = offset_bytes
        self.detail = detail


class CommittedEntryConflict(PeridotfrontError):
    """Entry of a leader that conflicts with a locally committed entry."""


class EditFailed(PeridotfrontError):
    """Edit of INI text that is impossible or would change more than intended."""


class OperatorError(PeridotfrontError):
    """Base class of errors that make an operator's command fail."""


class ChangeRefused(OperatorError):
    """Change that was refused or lost against a conflicting one."""


class UsageInvalid(OperatorError):
    """Command with invalid arguments or files."""


class ControlUnavailable(OperatorError):
    """Command that no host answered in time."""


class ChangeUnconfirmed(OperatorError):
    """Accepted change that not every live entry host has confirmed in time."""
