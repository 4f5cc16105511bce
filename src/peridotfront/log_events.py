"""Catalogue of numbered log events, from which docs/LOGS.md is generated."""

from dataclasses import dataclass
from enum import StrEnum


class Level(StrEnum):
    """Severity of a log event."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


LEVEL_NUMBERS = {
    Level.DEBUG: 10,
    Level.INFO: 20,
    Level.WARNING: 30,
    Level.ERROR: 40,
}


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Kind of log line.

    :param number: never changes and is never reused for another event.
    :param name: name of the event in the code, see :func:`~peridotfront.logs.write`.
    :param text: message in the line.
    :param meaning: what the event means for an operator and how to respond.
    """

    number: int
    name: str
    level: Level
    text: str
    meaning: str


PROCESS_EVENTS = (
    LogEvent(
        100,
        "process_started",
        Level.INFO,
        "the process has started",
        "Settings were accepted; ports are opened next. Nothing to do.",
    ),
    LogEvent(
        101,
        "process_ready",
        Level.INFO,
        "the process accepts connections",
        "All ports are open. /readyz answers 200 once a configuration is in force, or"
        " on a control host once a leader is known. Nothing to do.",
    ),
    LogEvent(
        102,
        "drain_started",
        Level.INFO,
        "graceful shutdown has begun",
        "/readyz answers 503 and requests in progress may finish. Nothing to do.",
    ),
    LogEvent(
        103,
        "drain_signal_repeated",
        Level.WARNING,
        "another stop signal was ignored during graceful shutdown",
        "The process still waits for its requests in progress. Kill it only if their"
        " callers may lose their answers.",
    ),
    LogEvent(
        104,
        "process_stopped",
        Level.INFO,
        "the process has stopped",
        "Its requests have ended, or its time for the shutdown was over. Nothing to"
        " do.",
    ),
    LogEvent(
        105,
        "internal_error",
        Level.ERROR,
        "an unexpected error was caught",
        "A bug. On an entry host the request in progress is abandoned and the process"
        " continues; a control host stops. Report it with the line.",
    ),
    LogEvent(
        110,
        "task_failed",
        Level.ERROR,
        "a background task ended by an unexpected error",
        "A bug. What the task did is not done any more until the process restarts."
        " Report it with the line.",
    ),
    LogEvent(
        106,
        "loop_delayed",
        Level.WARNING,
        "the event loop was blocked",
        "The host is overloaded or was frozen. Check its processor and memory.",
    ),
    LogEvent(
        107,
        "port_unavailable",
        Level.ERROR,
        "a port could not be opened",
        "Another process uses the address, or it is not an address of this host."
        " Correct the address in the settings or stop the other process.",
    ),
    LogEvent(
        108,
        "library_message",
        Level.WARNING,
        "a library logged a message",
        "The message and its source are in the line. Report it if it is frequent.",
    ),
    LogEvent(
        109,
        "drain_ended",
        Level.INFO,
        "no request is in progress any more, or the time for them is over",
        "in_progress is the number of requests that are cut off now, and relayed that"
        " of other hosts' connections. Both should be 0.",
    ),
)

OUTPUT_EVENTS = (
    LogEvent(
        120,
        "log_lines_left_out",
        Level.INFO,
        "log lines were suppressed",
        "The events named exceeded their rate limit, or nothing read the output. The"
        " rate limit does not apply to a routed request that got no complete answer.",
    ),
)

PEER_EVENTS = (
    LogEvent(
        200,
        "peer_connected",
        Level.INFO,
        "the connection to a peer is open",
        "Nothing to do.",
    ),
    LogEvent(
        201,
        "peer_disconnected",
        Level.INFO,
        "the connection to a peer was closed",
        "It is reopened automatically. Nothing to do unless event 203 follows.",
    ),
    LogEvent(
        202,
        "peer_alive",
        Level.INFO,
        "a peer is alive",
        "Heartbeats arrive. Nothing to do.",
    ),
    LogEvent(
        203,
        "peer_silent",
        Level.WARNING,
        "no heartbeat from a peer arrived within the host timeout",
        "The peer died or was frozen, or the network between the two hosts is"
        " interrupted. Check the peer's host, then the network.",
    ),
    LogEvent(
        204,
        "peer_restarted",
        Level.INFO,
        "a peer restarted with a new incarnation",
        "Everything that its old process held is released. Nothing to do.",
    ),
    LogEvent(
        205,
        "frame_invalid",
        Level.WARNING,
        "a message from a peer could not be decoded",
        "The message was left out; the peer runs a newer release. Expected while hosts "
        "are replaced; if it goes on, upgrade this host.",
    ),
    LogEvent(
        210,
        "message_unwritable",
        Level.ERROR,
        "a message to a peer could not be encoded",
        "The message was left out and the link goes on. A bug: a text or number was let"
        " in that no message can hold. Report it with the line.",
    ),
    LogEvent(
        211,
        "peer_link_failed",
        Level.ERROR,
        "a link to a peer ended by an unexpected error and is opened again",
        "A bug. Messages are resent where needed. Report it with the line.",
    ),
    LogEvent(
        206,
        "send_queue_full",
        Level.WARNING,
        "messages to a slow peer were dropped",
        "The peer or the network is too slow. Messages are resent where needed.",
    ),
    LogEvent(
        207,
        "peer_unauthenticated",
        Level.ERROR,
        "a peer that the settings or its certificate do not name was refused",
        "Check the certificate files of the host named, and whether it belongs to this"
        " deployment.",
    ),
    LogEvent(
        208,
        "peer_unknown",
        Level.ERROR,
        "a message was dropped since the settings do not name its receiver",
        "Add a [peer ...] section for the host that the line names, and restart.",
    ),
    LogEvent(
        209,
        "message_unexpected",
        Level.WARNING,
        "a message was dropped since this program does not handle its kind",
        "Check that the [peer ...] sections give each host its correct role.",
    ),
)

CONTROL_EVENTS = (
    LogEvent(
        302,
        "leader_changed",
        Level.INFO,
        "the leader of the control group, or this host's Raft role, has changed",
        "Nothing to do if 'leader' is named soon after; else see event 303.",
    ),
    LogEvent(
        303,
        "quorum_lost",
        Level.ERROR,
        "no leader with a quorum is reachable",
        "Non-idempotent requests and configuration changes are refused until one is"
        " reachable. Start the missing control hosts, or repair the network between"
        " them.",
    ),
    LogEvent(
        304,
        "quorum_found",
        Level.INFO,
        "a leader with a quorum is reachable again",
        "Nothing to do.",
    ),
    LogEvent(
        310,
        "raft_bootstrapped",
        Level.INFO,
        "a new control group was formed",
        "All configured hosts were blank. This must never appear on a running"
        " deployment: if it does, stop the host and check its settings and its data"
        " folder.",
    ),
    LogEvent(
        311,
        "raft_members_changed",
        Level.INFO,
        "the voters and learners of the control group are changing",
        "A blank host joins as a learner, and becomes a voter once it has caught up."
        " Do not replace a second host before it is named among the voters.",
    ),
    LogEvent(
        312,
        "raft_join_refused",
        Level.WARNING,
        "a join request from outside the control group was refused",
        "Check the settings of the host that the line names.",
    ),
    LogEvent(
        313,
        "raft_join_waiting",
        Level.WARNING,
        "this host has asked other hosts to let it join the control group, in vain",
        "The line names the hosts asked: the seeds, and what they name. Expected while"
        " no host leads; else check the seeds and whether the leader reaches them.",
    ),
    LogEvent(
        320,
        "storage_opened",
        Level.INFO,
        "the data folder was opened",
        "Nothing to do.",
    ),
    LogEvent(
        321,
        "storage_tail_cut",
        Level.WARNING,
        "an incomplete record at the end of the log was truncated",
        "The host died during a write; nothing acknowledged is lost.",
    ),
    LogEvent(
        322,
        "storage_damaged",
        Level.ERROR,
        "the data folder is damaged",
        "The host refuses to start. Follow 'Lost disk' in the operators' guide.",
    ),
    LogEvent(
        323,
        "storage_failed",
        Level.ERROR,
        "a write or sync failed, and the replica stops",
        "Check the disk for space and errors, then start the host again.",
    ),
    LogEvent(
        324,
        "snapshot_written",
        Level.INFO,
        "a snapshot was written and the log before it was removed",
        "Nothing to do.",
    ),
    LogEvent(
        325,
        "snapshot_restored",
        Level.INFO,
        "the state was restored from a snapshot",
        "The host was far behind or blank, or has just started. Nothing to do.",
    ),
)

CONFIGURATION_EVENTS = (
    LogEvent(
        400,
        "configuration_applied",
        Level.INFO,
        "this control host has applied an accepted configuration",
        "Nothing to do.",
    ),
    LogEvent(
        401,
        "config_conflict",
        Level.WARNING,
        "a configuration was refused since another was accepted first",
        "The answer named the author of the accepted one. Compare the two and propose"
        " again.",
    ),
    LogEvent(
        402,
        "config_invalid",
        Level.WARNING,
        "an invalid configuration was refused",
        "The answer listed all faults. The configuration in force is unchanged.",
    ),
    LogEvent(
        403,
        "config_in_force",
        Level.INFO,
        "a configuration is in force on this host",
        "Nothing to do.",
    ),
    LogEvent(
        404,
        "configuration_may_be_old",
        Level.WARNING,
        "this host uses a configuration that may be outdated",
        "It started without one and reached no host that has the newest version; it"
        " applies that version as soon as it gets it. Check the silent hosts.",
    ),
    LogEvent(
        405,
        "config_unconfirmed",
        Level.WARNING,
        "a host has not confirmed the configuration in force",
        "It is disconnected, frozen or slow. Check the host that the line names.",
    ),
    LogEvent(
        406,
        "config_unreadable",
        Level.ERROR,
        "this host cannot read an accepted configuration",
        "The host runs an older release than the configuration requires; it continues"
        " with its last one. Upgrade it.",
    ),
)

REQUEST_EVENTS = (
    LogEvent(
        500,
        "request_received",
        Level.DEBUG,
        "a request arrived",
        "Nothing to do.",
    ),
    LogEvent(
        501,
        "request_ended",
        Level.INFO,
        "a request has ended",
        "Verdict and reason are in the line. The verdict may_have_run means that an"
        " upstream or host failed: look for its log lines around the same time.",
    ),
    LogEvent(
        502,
        "request_refused",
        Level.INFO,
        "a request was refused on arrival, without being sent",
        "The reason is in the line. Frequent 'overloaded' means too little capacity.",
    ),
    LogEvent(
        504,
        "caller_gone",
        Level.INFO,
        "the caller disconnected before its answer was complete",
        "Nothing to do.",
    ),
    LogEvent(
        505,
        "caller_malformed",
        Level.INFO,
        "a caller sent invalid HTTP",
        "Nothing to do unless one address does so repeatedly.",
    ),
    LogEvent(
        506,
        "caller_timed_out",
        Level.INFO,
        "a caller was too slow to send its request or read its answer",
        "Nothing to do unless it is frequent.",
    ),
    LogEvent(
        507,
        "connections_exhausted",
        Level.WARNING,
        "the connection limit is reached and new connections are refused",
        "Add entry hosts or raise max_connections.",
    ),
    LogEvent(
        508,
        "answer_replayed",
        Level.INFO,
        "a repeated request was answered with the recorded answer",
        "Nothing to do.",
    ),
    LogEvent(
        509,
        "claim_taken_over",
        Level.WARNING,
        "this host took over a request whose holder died",
        "Nothing to do; look for event 203 that names the holder.",
    ),
    LogEvent(
        510,
        "poison_refused",
        Level.WARNING,
        "a request that crashed upstreams was refused permanently",
        "Inform the owner of the client account; the fingerprint is in the line.",
    ),
    LogEvent(
        511,
        "claim_of_other_holder",
        Level.WARNING,
        "a claim was dropped since its holder is not its sender",
        "A bug in the sender's program. Report it with the line.",
    ),
    LogEvent(
        512,
        "request_joined",
        Level.INFO,
        "a request waits for the answer of one in progress with the same key",
        "Nothing to do.",
    ),
    LogEvent(
        513,
        "outcome_recorded",
        Level.DEBUG,
        "the control group has recorded the outcome of a request",
        "Nothing to do.",
    ),
    LogEvent(
        514,
        "caller_bytes_dropped",
        Level.INFO,
        "bytes arrived on a connection that is being closed",
        "Mostly the rest of a request that was refused; nothing was sent on. cause"
        " says why the connection was closed, closing_ms for how long it had been.",
    ),
)

FORWARDING_EVENTS = (
    LogEvent(
        520,
        "slot_granted",
        Level.INFO,
        "a request was granted a slot at an upstream",
        "Nothing to do. The line has the waiting time and whether this host granted the"
        " slot itself.",
    ),
    LogEvent(
        521,
        "slot_refused",
        Level.INFO,
        "a slot request was refused",
        "The reason is in the line. No upstream executed the request through this slot"
        " request.",
    ),
    LogEvent(
        522,
        "send_failed",
        Level.INFO,
        "a request sent to an upstream got no complete answer",
        "The cause is in the line. Look for other lines that name the upstream."
        " silent_ms is the time since its last bytes.",
    ),
    LogEvent(
        523,
        "forwarding_ended",
        Level.INFO,
        "a routed request has ended",
        "Outcome, sends and times are in the line; the earlier lines of the request"
        " have the same request id. framing is how the last answer's body was framed,"
        " events the events of all answers, unfinished_bytes what followed the last"
        " whole event. remaining_ms is the time that was left. config_version was in"
        " force at the end, admitted_version at the beginning.",
    ),
    LogEvent(
        524,
        "scheduler_changed",
        Level.WARNING,
        "another host schedules the requests of this host",
        "Without a leader this host schedules its own requests. Check the control group"
        " if that lasts longer than a few seconds.",
    ),
    LogEvent(
        525,
        "entry_host_joined",
        Level.INFO,
        "an entry host now sends its slot requests to this leader",
        "Nothing to do.",
    ),
    LogEvent(
        526,
        "upstreams_listed",
        Level.INFO,
        "the list of upstreams has changed",
        "Nothing to do. The changes are in the line.",
    ),
    LogEvent(
        527,
        "upstream_list_unreadable",
        Level.WARNING,
        "the platform's list of upstreams could not be read",
        "The last list remains in use. Check the list's address if this persists.",
    ),
    LogEvent(
        528,
        "upstream_entry_unreadable",
        Level.WARNING,
        "an invalid entry of the list of upstreams was skipped",
        "Inform the platform's operators; the other entries are used.",
    ),
    LogEvent(
        529,
        "config_refused",
        Level.WARNING,
        "an operator's configuration was refused",
        "The faults are in the line; the configuration in force is unchanged.",
    ),
    LogEvent(
        530,
        "config_acknowledged",
        Level.INFO,
        "an operator's configuration was acknowledged",
        "Nothing to do.",
    ),
    LogEvent(
        531,
        "settings_changed",
        Level.INFO,
        "the changed settings file was reloaded",
        "Nothing to do.",
    ),
    LogEvent(
        532,
        "settings_unreadable",
        Level.ERROR,
        "the changed settings file cannot be read",
        "The process continues with its last settings. Correct the file.",
    ),
    LogEvent(
        533,
        "leaving_notice",
        Level.INFO,
        "an upstream said in an answer that it is leaving",
        "Nothing to do. This host sends no requests to it until it is unlisted or has"
        " started again (upstream_restarted).",
    ),
    LogEvent(
        534,
        "busy_notice",
        Level.INFO,
        "an upstream wants no requests of this host for some time",
        "Nothing to do, unless many upstreams say so: then add some.",
    ),
    LogEvent(
        535,
        "answer_unsuccessful",
        Level.INFO,
        "an upstream answered a request, but not with success",
        "owner is whose answer it is: request, other, nobody, or ambiguous. call_number"
        " counts the calls on its connection: at the first, no earlier answer can be"
        " late.",
    ),
    LogEvent(
        536,
        "upstream_crashed",
        Level.WARNING,
        "an upstream broke off the requests that it executed",
        "requests names those that it had, and strikes how often each was struck. A"
        " request that stands in several of these lines may be the cause.",
    ),
    LogEvent(
        537,
        "crashing_parts_changed",
        Level.WARNING,
        "other parts of requests than before crash upstreams",
        "Requests of the service with all these parts are refused as poison. Empty if"
        " there are none any more.",
    ),
    LogEvent(
        538,
        "limit_read",
        Level.INFO,
        "an upstream named another limit on its requests than before",
        "requests_per_s is for all hosts together; negative if it has no limit any"
        " more. The others get its load. Find out why it is in need.",
    ),
    LogEvent(
        539,
        "circuit_changed",
        Level.INFO,
        "the end of a request changed whether an upstream gets more",
        "state is that of its circuit breaker, cause how the request ended, reporter"
        " the host that sent it. used_slots of max_slots are still held. If one host"
        " reports many upstreams, its links to them may be lost.",
    ),
    LogEvent(
        540,
        "host_reach_changed",
        Level.WARNING,
        "an entry host lost or regained its links to upstreams",
        "upstreams are those that it did not reach while others were served. While it"
        " is cut off, its reports count against no upstream. Check its network.",
    ),
    LogEvent(
        541,
        "link_checked",
        Level.INFO,
        "this host checked its link to an upstream",
        "It does so when an answer is late, and while other hosts relay its requests."
        " state is open, lost, or silent: a connection opens, but no answer comes.",
    ),
    LogEvent(
        542,
        "relay_broken",
        Level.INFO,
        "a connection that this host relays for another one broke",
        "address is the upstream's; empty if the other host's end broke.",
    ),
    LogEvent(
        543,
        "send_silent",
        Level.INFO,
        "an upstream is silent during a request, and another one is sought",
        "The send goes on until another upstream has a free slot; slot_granted or"
        " slot_refused lines of the request say whether it has.",
    ),
    LogEvent(
        544,
        "handler_failed",
        Level.ERROR,
        "an error of the program has ended the handling of a request",
        "A bug. Report it with the line. is_started says whether the answer had begun,"
        " and so was cut; else the caller got 500.",
    ),
    LogEvent(
        545,
        "handler_cancelled",
        Level.WARNING,
        "a request was ended since its host stops",
        "The time to stop was over: compare drain_ended. is_started says whether its"
        " answer had begun, and so was cut; else it was refused with the verdict.",
    ),
    LogEvent(
        546,
        "caller_closed_for_room",
        Level.WARNING,
        "a connection without progress was closed, since a limit was reached",
        "limit is held_bytes or connections, of section connections. The caller sends"
        " without reading, or opens connections without requests. Find it and stop it.",
    ),
    LogEvent(
        547,
        "upstream_restarted",
        Level.INFO,
        "an upstream that was leaving has started again under its name",
        "Nothing to do. This host sends it requests again. Compare leaving_notice.",
    ),
)

UPSTREAM_EVENTS = (
    LogEvent(
        600,
        "upstream_alive",
        Level.INFO,
        "an upstream responds",
        "Nothing to do.",
    ),
    LogEvent(
        601,
        "upstream_silent",
        Level.WARNING,
        "an upstream no longer responds",
        "It gets no new requests. Check its host.",
    ),
    LogEvent(
        602,
        "upstream_leaving",
        Level.INFO,
        "an upstream is leaving and gets no new requests",
        "It may be stopped once 'upstreams' shows no running requests there.",
    ),
    LogEvent(
        603,
        "upstream_slow",
        Level.WARNING,
        "an upstream has become much slower",
        "It gets fewer requests. Check its host.",
    ),
    LogEvent(
        604,
        "upstream_recovered",
        Level.INFO,
        "an upstream has regained its normal speed",
        "Nothing to do.",
    ),
    LogEvent(
        605,
        "upstream_invalid_answer",
        Level.WARNING,
        "an upstream sent an invalid answer",
        "Check the release of the upstream named.",
    ),
    LogEvent(
        606,
        "cache_events_missed",
        Level.DEBUG,
        "cache events of an upstream are missing",
        "The prefix cache model gets less weight for a while. Nothing to do.",
    ),
    LogEvent(
        620,
        "platform_list_unreadable",
        Level.WARNING,
        "the platform's list of hosts cannot be read; the last one remains in use",
        "Check the file that the line names and the program that writes it.",
    ),
)

SCHEDULING_EVENTS = (
    LogEvent(
        700,
        "scheduler_started",
        Level.INFO,
        "this host schedules a cell of upstreams",
        "Nothing to do.",
    ),
    LogEvent(
        701,
        "scheduler_stopped",
        Level.INFO,
        "this host no longer schedules a cell of upstreams",
        "Nothing to do.",
    ),
    LogEvent(
        702,
        "shedding_started",
        Level.WARNING,
        "requests of a tier are refused for lack of capacity",
        "Demand exceeds capacity. Add upstreams or reduce the load of lower tiers.",
    ),
    LogEvent(
        703,
        "shedding_ended",
        Level.INFO,
        "requests of a tier are admitted again",
        "Nothing to do.",
    ),
    LogEvent(
        704,
        "request_preempted",
        Level.WARNING,
        "a request of a lower tier was preempted by one of a higher tier",
        "Demand of the higher tiers exceeds capacity. Add upstreams.",
    ),
    LogEvent(
        705,
        "slot_lapsed",
        Level.WARNING,
        "the slot of a silent holder was reclaimed",
        "The entry host named died or is disconnected. Look for event 203.",
    ),
)

OPERATOR_EVENTS = (
    LogEvent(
        800,
        "operator_changed_config",
        Level.INFO,
        "an operator proposed a configuration",
        "For audit; author and change id are in the line. Nothing to do.",
    ),
    LogEvent(
        801,
        "operator_refused",
        Level.WARNING,
        "a request on the admin address had no valid token",
        "Check which client sends it. Method and path are in the line.",
    ),
    LogEvent(
        802,
        "operator_read_failed",
        Level.WARNING,
        "an operator's request reached a host that is not the leader",
        "The line names the leader, if one is known. If none is, see event 303.",
    ),
    LogEvent(
        803,
        "state_dumped",
        Level.INFO,
        "an operator read the state of this process",
        "For audit. Nothing to do.",
    ),
)

ORDER_EVENTS = (
    LogEvent(
        900,
        "order_answered",
        Level.INFO,
        "an engine answered an order",
        "Nothing to do. The order and its outcome are in the line.",
    ),
    LogEvent(
        901,
        "order_failed",
        Level.WARNING,
        "an order to an engine was not sent, or got no valid answer",
        "It is sent again with the same id. Check the engine if this persists.",
    ),
    LogEvent(
        902,
        "order_refused",
        Level.ERROR,
        "an engine refused an order, since it knows a newer fencing token",
        "This leader sends no more orders in its term. Look for another leader in "
        "event 302; restart this control host if there is none.",
    ),
)

ROLLOUT_EVENTS = (
    LogEvent(
        1000,
        "rollout_ordered",
        Level.INFO,
        "an operator has ordered a rollout",
        "It is replicated. The status tells whether it was started, repeats one that"
        " goes on or has ended, or was refused since another one goes on.",
    ),
    LogEvent(
        1001,
        "rollout_refused",
        Level.WARNING,
        "an order of a rollout is invalid and was refused",
        "Nothing has changed. Correct the order as the detail says.",
    ),
    LogEvent(
        1002,
        "rollout_stage",
        Level.INFO,
        "a rollout has entered a stage",
        "canary: a small share of the requests goes to the new version; check: as many"
        " as an unproven version may get; shift: all new requests.",
    ),
    LogEvent(
        1003,
        "rollout_progress",
        Level.INFO,
        "evidence on the new version of a rollout",
        "routes lists route:answers:failed:slow of the new version; unproven lists the"
        " routes on which more answers are needed.",
    ),
    LogEvent(
        1004,
        "rollout_ended",
        Level.WARNING,
        "a rollout is complete or reverted",
        "The reason says what decided it. After complete the upstreams of other"
        " versions may be stopped, after reverted those of the new one.",
    ),
    LogEvent(
        1005,
        "version_held",
        Level.INFO,
        "a software version that was just listed gets no requests yet",
        "An operator may be about to order its rollout. Without an order it is used"
        " after some seconds.",
    ),
)

SLOW_START_EVENTS = (
    LogEvent(
        1010,
        "slow_start_began",
        Level.INFO,
        "an upstream has just started or recovered and gets few requests at first",
        "pace_slots is the number of its slots in use to begin with. Nothing to do.",
    ),
    LogEvent(
        1011,
        "slow_start_ended",
        Level.INFO,
        "an upstream may use all of its slots",
        "Nothing to do. If duration_ms is often near 15000, its answers are late at"
        " full load: check its speed and its number of slots.",
    ),
)

EVENTS = (
    PROCESS_EVENTS
    + OUTPUT_EVENTS
    + PEER_EVENTS
    + CONTROL_EVENTS
    + CONFIGURATION_EVENTS
    + REQUEST_EVENTS
    + FORWARDING_EVENTS
    + UPSTREAM_EVENTS
    + SCHEDULING_EVENTS
    + OPERATOR_EVENTS
    + ORDER_EVENTS
    + ROLLOUT_EVENTS
    + SLOW_START_EVENTS
)
EVENTS_BY_NAME = {event.name: event for event in EVENTS}
