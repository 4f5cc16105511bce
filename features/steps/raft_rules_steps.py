"""Steps that pass single events to one replica."""

from dataclasses import replace

from behave import given, then, when

from peridotfront.core.actions import Received, Send, Tick
from peridotfront.core.messages import (
    AppendReply,
    AppendRequest,
    BootstrapQuery,
    BootstrapReply,
    ConfigChange,
    ConfigProposal,
    HardState,
    JoinRequest,
    LogEntry,
    MembershipChange,
    NoOp,
    Replica,
    Snapshot,
    SnapshotChunk,
    VoteReply,
    VoteRequest,
)
from peridotfront.core.raft import (
    AppendEntries,
    InstallSnapshot,
    Propose,
    Raft,
    RaftState,
    RaftTiming,
    Read,
    ReadReady,
    SaveHardState,
)

TIMING = RaftTiming()
INCARNATIONS = {"a": 1, "b": 2, "c": 3}
NEW_DISK = 100
FORMER_DISK = 99
VOTERS = tuple([Replica(host, number) for host, number in INCARNATIONS.items()])
CHUNKS = (b"one", b"two", b"end")


class Driver:
    """Replica with its clock and all its actions so far."""

    def __init__(self, host, state):
        self.host = host
        self.now_ms = 0
        self.actions = []
        self.state = state
        self.start()

    def start(self):
        incarnation = INCARNATIONS[self.host]
        self.raft = Raft(
            self.host, incarnation, tuple("abc"), self.state, TIMING, float
        )
        self.handle(Tick())

    def handle(self, event):
        new = list(self.raft.handle(event, self.now_ms))
        self.actions += new
        return new

    def receive(self, sender, message):
        return self.handle(Received(sender, 0, message))

    def wait(self, duration_ms):
        self.now_ms += duration_ms
        return self.handle(Tick())

    def sent(self, kind):
        sends = [a.message for a in self.actions if isinstance(a, Send)]
        return [message for message in sends if isinstance(message, kind)]


def state_of(terms):
    terms = [int(term) for term in terms.split(",")]
    entries = [LogEntry(i, term, NoOp()) for i, term in enumerate(terms[1:], start=2)]
    return RaftState(
        HardState(2, None, True), Snapshot(1, terms[0], VOTERS), tuple(entries)
    )


@given('a leader "a" of term 3 with a log of the terms {terms}')
def leading_replica(context, terms):
    replica_with_log(context, terms)
    driver = context.driver
    driver.wait(TIMING.election_timeout_ms)
    driver.receive("b", VoteReply(3, 2, True, True, 1))
    driver.receive("b", VoteReply(3, 2, True, False, 1))
    assert driver.raft.is_leader


@given('replica "a" with a log of the terms {terms}')
def replica_with_log(context, terms):
    context.driver = Driver("a", state_of(terms))


@given("it received a request of a leader {age_ms:d} ms ago")
def leader_request_received(context, age_ms):
    context.driver.receive("c", AppendRequest(3, 3, 0, 0, (), 0, 1))
    context.driver.now_ms += age_ms


@given('"{host}" confirms the entries up to {index:d}')
@when('"{host}" confirms the entries up to {index:d}')
def confirms(context, host, index):
    confirm(context, host, INCARNATIONS[host], index)


def confirm(context, host, incarnation, index):
    driver = context.driver
    number = max(m.round_number for m in driver.sent(AppendRequest))
    driver.receive(host, AppendReply(3, incarnation, True, index, number))


@when('"{host}" refuses with the hint {index:d}')
def refuses(context, host, index):
    refusal = AppendReply(3, INCARNATIONS[host], False, index, 1)
    context.new_actions = context.driver.receive(host, refusal)


@then("nothing is sent")
def nothing_sent(context):
    assert context.new_actions == []


@when("a read is requested")
def request_read(context):
    context.driver.handle(Read(7))


@given('"{host}" asks to join with a new disk')
@when('"{host}" asks to join with a new disk')
def asks_to_join(context, host):
    context.driver.receive(host, JoinRequest(NEW_DISK))


@when("{count:d} commands of {size:d} bytes are proposed at once")
def large_commands(context, count, size):
    proposal = ConfigProposal("id", 1, "author", "x" * size)
    for _ in range(count):
        context.driver.handle(Propose(ConfigChange(0, proposal)))


@then("the requests carry {numbers} entries")
def requests_carry(context, numbers):
    requests = context.driver.sent(AppendRequest)
    counts = [len(r.entries) for r in requests if r.previous_index >= 3 and r.entries]
    assert counts == [int(number) for number in numbers.split(", ")], counts


@when(
    '{count:d} heartbeats are answered by "b",'
    ' and by the new disk of "c" with entry {index:d}'
)
def heartbeats_answered(context, count, index):
    for _ in range(count):
        context.driver.wait(TIMING.heartbeat_ms)
        confirm(context, "b", INCARNATIONS["b"], 4)
        confirm(context, "c", NEW_DISK, index)
    context.driver.wait(TIMING.heartbeat_ms)


@when('{count:d} heartbeats are answered by "b", "c", and by the new disk of "c"')
def heartbeats_answered_by_both(context, count):
    for _ in range(count):
        context.driver.wait(TIMING.heartbeat_ms)
        confirm(context, "b", INCARNATIONS["b"], 4)
        confirm(context, "c", INCARNATIONS["c"], 4)
        confirm(context, "c", NEW_DISK, 4)


@when(
    '"{host}" asks for a {kind} in term {term:d} with last entry {index:d}'
    " of term {last_term:d}"
)
def asks_for_vote(context, host, kind, term, index, last_term):
    request = VoteRequest(term, INCARNATIONS[host], index, last_term, kind != "vote")
    context.new_actions = context.driver.receive(host, request)


@when("it restarts with what was written")
def restarts(context):
    driver = context.driver
    writes = [a.hard_state for a in driver.actions if isinstance(a, SaveHardState)]
    driver.state = replace(driver.state, hard_state=writes[-1])
    driver.start()
    driver.now_ms += TIMING.election_timeout_ms


@given(
    "a leader of term {term:d} sends previous entry {index:d} of term {entry_term:d}"
    " and commit index {leader_commit:d}"
)
@when(
    "a leader of term {term:d} sends previous entry {index:d} of term {entry_term:d}"
    " and commit index {leader_commit:d}"
)
def leader_sends(context, term, index, entry_term, leader_commit):
    context.driver.receive(
        "b", AppendRequest(term, 2, index, entry_term, (), leader_commit, 1)
    )


@when("the leader's request with entry 2 alone arrives again")
def delayed_request(context):
    entry = context.driver.state.entries[0]
    context.driver.receive("b", AppendRequest(2, 2, 1, 1, (entry,), 0, 1))


@given('the blank replica "{host}"')
def blank_replica(context, host):
    context.driver = Driver(host, RaftState())


@when('"{hosts}" answer that they are blank')
def answer_blank(context, hosts):
    context.answering = hosts.split()
    for host in context.answering:
        reply = BootstrapReply(INCARNATIONS[host], True)
        context.driver.receive(host, reply)
    context.driver.wait(TIMING.election_timeout_ms)


@when('"{host}" asks whether it is blank')
def asks_blank(context, host):
    context.driver.receive(host, BootstrapQuery(INCARNATIONS[host]))


@then("it answers that it is blank")
def answers_blank(context):
    assert context.driver.sent(BootstrapReply)[-1].is_blank


@then("it answers that it is not blank")
def answers_not_blank(context):
    assert not context.driver.sent(BootstrapReply)[-1].is_blank


@when("they vote for its {incarnation} disk")
def they_vote(context, incarnation):
    for host in context.answering:
        vote_for(context, host, incarnation)


@when('only "{host}" votes for it')
def one_votes(context, host):
    vote_for(context, host, "own")


def vote_for(context, host, incarnation):
    own = INCARNATIONS[context.driver.host]
    disk = own if incarnation == "own" else FORMER_DISK
    reply = VoteReply(1, INCARNATIONS[host], True, False, disk)
    context.driver.receive(host, reply)


@when("chunks {chunks} of a snapshot arrive, after a comma from the next leader")
def chunks_arrive(context, chunks):
    for position, part in enumerate(chunks.split(",")):
        term = 3 + position
        for number in [int(word) for word in part.split() if word.isdigit()]:
            receive_chunk(context, term, number)


def receive_chunk(context, term, number):
    data = b"".join(CHUNKS)
    offset = len(b"".join(CHUNKS[:number]))
    chunk = SnapshotChunk(term, 8, 2, offset, len(data), CHUNKS[number], VOTERS)
    context.driver.receive("b", chunk)


@when("a complete snapshot of entry {index:d} of term {term:d} arrives")
def complete_snapshot(context, index, term):
    chunk = SnapshotChunk(3, index, term, 0, 5, b"state", VOTERS)
    context.driver.receive("b", chunk)


@when("a snapshot of entry {index:d} is made")
def snapshot_made(context, index):
    context.driver.actions += context.driver.raft.compact(index, b"state")


@then("the commit index is {index:d}")
def commit_index(context, index):
    assert context.driver.raft.commit_index == index


def is_read_answered(context):
    return ReadReady(7) in context.driver.actions


@then("the read has no answer yet")
def no_answer(context):
    assert not is_read_answered(context)


@then("the read is answered")
def read_answered(context):
    assert is_read_answered(context)


@then("{count:d} member changes were proposed")
@then("{count:d} member change was proposed")
def changes_proposed(context, count):
    writes = [a for a in context.driver.actions if isinstance(a, AppendEntries)]
    commands = [entry.command for write in writes for entry in write.entries]
    assert len([c for c in commands if isinstance(c, MembershipChange)]) == count


@then("the answer to the {kind} is {answer}")
def vote_is(context, kind, answer):
    sends = [a.message for a in context.new_actions if isinstance(a, Send)]
    granted = [message.is_granted for message in sends]
    assert (granted == [True]) == (answer == "granted"), granted
    if answer == "granted" and kind == "vote":
        assert isinstance(context.new_actions[-2], SaveHardState)


@then("the leader is answered {answer} with index {index:d}")
def answer_with_index(context, answer, index):
    reply = context.driver.sent(AppendReply)[-1]
    assert (reply.is_success, reply.match_index) == (answer == "success", index)


@then("the log still ends at {index:d}")
def log_ends(context, index):
    assert context.driver.raft.dump().last_index == index


@then("the replica leads")
def it_leads(context):
    assert context.driver.raft.is_leader


@then("the replica does not lead")
def it_does_not_lead(context):
    assert not context.driver.raft.is_leader


def installed(context):
    actions = context.driver.actions
    return [a for a in actions if isinstance(a, InstallSnapshot)]


@then("the snapshot of the chunks is complete")
def snapshot_complete(context):
    assert [a.snapshot.data for a in installed(context)] == [b"".join(CHUNKS)]


@then("the snapshot of the chunks is missing")
@then("no snapshot was installed")
def snapshot_missing(context):
    assert installed(context) == []


@then("{count:d} entries stay after it")
def entries_stay(context, count):
    assert [len(action.entries) for action in installed(context)] == [count]


@then("it names no learners")
def no_learners_named(context):
    assert [action.snapshot.learners for action in installed(context)] == [()]
