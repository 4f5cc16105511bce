"""Steps for the state machine of the configuration."""

from behave import given, then, when

from peridotfront import wire
from peridotfront.core.configuration import Configuration
from peridotfront.core.messages import (
    ChangeStatus,
    ConfigChange,
    ConfigProposal,
    ConfigurationSnapshot,
)


def change(change_id, base_version, author="ann", content="text"):
    proposal = ConfigProposal(change_id, base_version, author, content)
    return ConfigChange(time_ms=0, proposal=proposal)


@given("a configuration at version {version:d}")
def start(context, version):
    context.configuration = Configuration()
    for base in range(version):
        context.configuration.apply(change(f"first-{base}", base))
    context.changes = {}
    context.results = {}


def propose(context, author):
    context.results[author] = context.configuration.apply(context.changes[author])


@when('operators "{first}" and "{second}" both propose on version {version:d}')
def propose_both(context, first, second, version):
    for author in (first, second):
        context.changes[author] = change(author, version, author, f"by {author}")
        propose(context, author)


@when("nothing else happens")
def nothing(context):
    pass


@when("the state goes through a snapshot")
def through_snapshot(context):
    data = wire.encode(context.configuration.snapshot())
    context.configuration = Configuration()
    context.configuration.restore(wire.decode(ConfigurationSnapshot, data))


@when('"{author}" repeats the change')
def repeat(context, author):
    propose(context, author)


@when('"{author}" sends different content with the same change id')
def other_content(context, author):
    context.changes[author] = change(author, 4, author, "other")
    propose(context, author)


@when("{count:d} changes of {size:d} bytes are applied")
def apply_many(context, count, size):
    for base in range(count):
        result = context.configuration.apply(
            change(f"c{base}", base, content="x" * size)
        )
        assert result.status is ChangeStatus.ACCEPTED


@then('"{author}" is accepted with version {version:d}')
def accepted(context, author, version):
    result = context.results[author]
    assert (result.status, result.version) == (ChangeStatus.ACCEPTED, version), result


@then('"{author}" gets a conflict with version {version:d} by "{winner}"')
def conflict(context, author, version, winner):
    result = context.results[author]
    expected = (ChangeStatus.CONFLICT, version, winner)
    assert (result.status, result.version, result.author) == expected, result


@then('"{author}" gets the result invalid')
def invalid(context, author):
    assert context.results[author].status is ChangeStatus.INVALID


@then('the configuration is "{content}" and no other change was applied')
def unchanged(context, content):
    current = context.configuration.current
    assert (current.content, current.version) == (content, 4), current


@then("the configuration is at version {version:d}")
def at_version(context, version):
    assert context.configuration.version == version


@then("at most {ids:d} change ids and {versions:d} versions are kept")
def bounded(context, ids, versions):
    snapshot = context.configuration.snapshot()
    assert len(snapshot.changes) == ids, len(snapshot.changes)
    assert len(snapshot.history) == versions, len(snapshot.history)


@then("at most {size:d} bytes of old contents are kept")
def bounded_contents(context, size):
    kept = sum(len(r.content) for r in context.configuration.history)
    assert 0 < kept <= size, kept


@then("a repeat of change {number:d} is a conflict that changes nothing")
def old_repeat(context, number):
    before = context.configuration.current
    old = change(f"c{number}", number, content="x" * 1000)
    result = context.configuration.apply(old)
    assert result.status is ChangeStatus.CONFLICT, result
    assert context.configuration.current == before
