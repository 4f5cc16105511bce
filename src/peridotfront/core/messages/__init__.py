"""Messages between hosts, as frozen data classes that the .proto file mirrors.

The tool ``tools/generate_proto.py`` derives the .proto file from these classes.
Field numbers never change once they are assigned; new fields go to the end and
need a default, so that hosts of different releases understand each other.
"""

from dataclasses import dataclass
from typing import Union

from .answers import ANSWER_MESSAGES, AnswerChunk, AttachRequest
from .cells import (
    CELL_MESSAGES,
    BegunStream,
    CancelSlotRequest,
    Grant,
    HeldSlot,
    LinkReport,
    LinkState,
    ListedUpstream,
    NamedLimit,
    NamedLimits,
    Preempt,
    Release,
    ReleaseCause,
    SentRepeats,
    SlotRefusal,
    SlotRequest,
    Spending,
    StreamsBegun,
    UpstreamReport,
    UpstreamsUpdate,
)
from .control import (
    CONTROL_MESSAGES,
    AllowanceShare,
    ChangeRecord,
    ChangeStatus,
    Claim,
    ClaimBatch,
    ClaimRecord,
    ClaimReply,
    ClaimRequest,
    ClaimsSnapshot,
    ClaimStatus,
    Command,
    ConfigChange,
    ConfigProposal,
    ConfigQuery,
    ConfigRecord,
    ConfigResult,
    ConfigUpdate,
    ConfigurationSnapshot,
    ControlSnapshot,
    Header,
    Heartbeat,
    KeyQuery,
    KeyReply,
    MembershipChange,
    NoOp,
    OrderIssued,
    Outcome,
    OutcomeAck,
    OutcomeReport,
    Replica,
    StrikeBatch,
    StrikeRecord,
    StrikeReport,
    StrikesSnapshot,
    StrikeUpdate,
)
from .crashes import (
    CRASH_MESSAGES,
    CrashBatch,
    CrashesSnapshot,
    CrashingGroup,
    CrashingParts,
    CrashRecord,
    CrashReport,
    PartsCleared,
)
from .raft import (
    RAFT_MESSAGES,
    AppendReply,
    AppendRequest,
    BootstrapQuery,
    BootstrapReply,
    JoinRequest,
    LogEntry,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from .records import HardState, LogStart, Snapshot, StorageRecord, Truncation
from .rollouts import (
    ROLLOUT_MESSAGES,
    RolloutEnd,
    RolloutOrder,
    RolloutOrderStatus,
    RolloutRecord,
    RolloutsSnapshot,
    RolloutStage,
    RolloutStages,
    RolloutState,
    RolloutUsage,
    StagedVersion,
)

MESSAGE_TYPES = (
    RAFT_MESSAGES
    + CONTROL_MESSAGES
    + CELL_MESSAGES
    + ANSWER_MESSAGES
    + CRASH_MESSAGES
    + ROLLOUT_MESSAGES
)
Message = Union[MESSAGE_TYPES]  # noqa: UP007


@dataclass(frozen=True, slots=True)
class Frame:
    """Batch of the messages that one host sends to another in one turn.

    :param sender: name of the sending host.
    :param incarnation: incarnation of the sender, new for each process start.
    """

    sender: str
    incarnation: int
    messages: tuple[Message, ...]


def proto_name_of(kind: type) -> str:
    """Return the name of a message class in the .proto file."""
    return getattr(kind, "proto_name", kind.__name__)


__all__ = [
    "MESSAGE_TYPES",
    "AllowanceShare",
    "AnswerChunk",
    "AppendReply",
    "AppendRequest",
    "AttachRequest",
    "BegunStream",
    "BootstrapQuery",
    "BootstrapReply",
    "CancelSlotRequest",
    "ChangeRecord",
    "ChangeStatus",
    "Claim",
    "ClaimBatch",
    "ClaimRecord",
    "ClaimReply",
    "ClaimRequest",
    "ClaimStatus",
    "ClaimsSnapshot",
    "Command",
    "ConfigChange",
    "ConfigProposal",
    "ConfigQuery",
    "ConfigRecord",
    "ConfigResult",
    "ConfigUpdate",
    "ConfigurationSnapshot",
    "ControlSnapshot",
    "CrashBatch",
    "CrashRecord",
    "CrashReport",
    "CrashesSnapshot",
    "CrashingGroup",
    "CrashingParts",
    "Frame",
    "Grant",
    "HardState",
    "Header",
    "Heartbeat",
    "HeldSlot",
    "JoinRequest",
    "KeyQuery",
    "KeyReply",
    "LinkReport",
    "LinkState",
    "ListedUpstream",
    "LogEntry",
    "LogStart",
    "MembershipChange",
    "Message",
    "NamedLimit",
    "NamedLimits",
    "NoOp",
    "OrderIssued",
    "Outcome",
    "OutcomeAck",
    "OutcomeReport",
    "PartsCleared",
    "Preempt",
    "Release",
    "ReleaseCause",
    "Replica",
    "RolloutEnd",
    "RolloutOrder",
    "RolloutOrderStatus",
    "RolloutRecord",
    "RolloutStage",
    "RolloutStages",
    "RolloutState",
    "RolloutUsage",
    "RolloutsSnapshot",
    "SentRepeats",
    "SlotRefusal",
    "SlotRequest",
    "Snapshot",
    "SnapshotChunk",
    "SnapshotReply",
    "Spending",
    "StagedVersion",
    "StorageRecord",
    "StreamsBegun",
    "StrikeBatch",
    "StrikeRecord",
    "StrikeReport",
    "StrikeUpdate",
    "StrikesSnapshot",
    "Truncation",
    "UpstreamReport",
    "UpstreamsUpdate",
    "VoteReply",
    "VoteRequest",
    "proto_name_of",
]
