"""Steps for control groups whose hosts are lost and replaced in turn."""

import os

from behave import given, then, when
from support.overlapping_losses import OverlappingLosses
from support.replacements import (
    FLEETS,
    KINDS,
    START_LIMIT_MS,
    Losses,
    OpenGroup,
)

SEEDS = 4
FOUR_HOSTS = FLEETS[1]
KINDS_BY_TEXT = {
    "a replacement": ("replacement",),
    "a planned replacement": ("planned_replacement",),
    "a lost disk": ("lost_disk",),
    "a kill": ("kill",),
    "a freeze": ("freeze",),
    "a cut": ("cut",),
    "any of them": KINDS,
}


@when("the leader of 4 control hosts is replaced 6 times, every {gap_ms:d} ms")
def replace_leaders(context, gap_ms):
    context.failures = play(
        Losses(seed, ("replacement",), fleet=FOUR_HOSTS, way="leader", gap_ms=gap_ms)
        for seed in range(SEEDS)
    )


@when("{count:d} control groups lose hosts in turn by {kind}")
def lose_hosts(context, count, kind):
    first = int(os.environ.get("PERIDOTFRONT_LOSSES_SEED", "0"))
    runs = int(os.environ.get("PERIDOTFRONT_LOSSES_RUNS", count))
    kinds = KINDS_BY_TEXT[kind]
    context.failures = play(Losses(seed, kinds) for seed in range(first, first + runs))


@when("{count:d} control groups lose all tolerated disks while further hosts are away")
def lose_disks_beside(context, count):
    first = int(os.environ.get("PERIDOTFRONT_LOSSES_SEED", "0"))
    runs = int(os.environ.get("PERIDOTFRONT_LOSSES_RUNS", count))
    seeds = range(first, first + runs)
    context.failures = play(OverlappingLosses(seed) for seed in seeds)


def play(lives):
    """Play lives, and return what failed by seed."""
    failures = {}
    for life in lives:
        try:
            life.play()
        except AssertionError as error:
            failures[life.seed] = str(error)
    return failures


@then("the group can bear each loss, and nothing acknowledged is lost")
def none_failed(context):
    assert not context.failures, context.failures


@given("{count:d} control hosts in virtual time that tolerate 1 lost disk")
def start_group(context, count):
    names = tuple([f"c{number}" for number in range(count)])
    context.group = OpenGroup(names, seed=1, tolerated=1)
    await_voters(context.group, count)


@when("one of them is cut off for {duration_s:d} s")
def cut_off(context, duration_s):
    group = context.group
    leader = group.await_leader().name
    group.isolate_only([next(name for name in group.names if name != leader)])
    group.run_for(duration_s * 1000)


@when("it is back, and all hosts are set to tolerate {count:d} lost disks")
def set_tolerated(context, count):
    group = context.group
    group.isolate_only(())
    await_voters(group, len(group.names))
    for host in group.hosts.values():
        host.raft.set_tolerated_losses(count)


@then("the group has {count:d} voters")
def has_voters(context, count):
    voters = context.group.await_leader().raft.voters
    assert len(voters) == count, voters


def await_voters(group, count):
    group.run_until(
        lambda: group.leader() and len(group.leader().raft.voters) == count,
        START_LIMIT_MS,
    )
