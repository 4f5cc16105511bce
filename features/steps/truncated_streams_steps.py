"""Steps for the end of streams of server-sent events."""

from behave import then, when

from peridotfront.core.event_stream import ServerSentEventParser

ESCAPES = {"\\n": "\n", "\\r": "\r", ":\\s": ": ", "\\s": ""}


def unescape(text):
    """Return the bytes of a stream as it is written in a table."""
    for escaped, plain in ESCAPES.items():
        text = text.replace(escaped, plain)
    return text.encode()


@when('the stream "{text}" arrives in pieces of 1 to {most:d} bytes')
def feed_stream(context, text, most):
    stream = unescape(text)
    context.parsers = []
    context.events = []
    for size in range(1, most + 1):
        parser = ServerSentEventParser()
        events = [
            event
            for start in range(0, len(stream), size)
            for event in parser.feed(stream[start : start + size])
        ]
        assert b"".join([e.data for e in events]) + parser.buffered == stream
        context.parsers.append(parser)
        context.events.append(events)


@then("it has {count:d} events each time")
def has_events(context, count):
    counts = [len(events) for events in context.events]
    assert set(counts) == {count}, counts


@then("with a last chunk it is {framed}, and without one it is {unframed}")
def ends_as(context, framed, unframed):
    for parser in context.parsers:
        assert parser.is_truncated(is_framed=True) == (framed == "truncated")
        assert parser.is_truncated(is_framed=False) == (unframed == "truncated")
