"""Upstreams in need: a part of a prompt crashes them, or they name a limit."""

import asyncio
from dataclasses import dataclass, field

CRASHING_PART = "crashing"
CRASHING_SHARE = 0.04
LIMITS = ("0.5", "1", "2.5")
CONTACT_S = 3.0
FIRST_CRASHES = 5
MAX_LATER_SENDS = 3
WINDOW_S = 4.0
OVER_RATIO = 1.5
OVER_REQUESTS = 5


def prefix_of(text, is_crashing):
    """Return the parts of a request's prompt as a header field.

    :param text: text that no other request has.
    """
    middle = CRASHING_PART if is_crashing else "class"
    return ("X-Prefix-Hash", f"base:60,{middle}:60,{text}:60,{text}.end:60")


def is_crashing(prefix):
    """Return whether a part of a prompt but the last crashes upstreams."""
    parts = [entry.partition(":")[0] for entry in prefix.split(",")]
    return CRASHING_PART in parts[:-1]


@dataclass
class Burdens:
    """Record of what burdened all upstreams of a run.

    :param crashes_s: times of the crashes by a part of a prompt.
    :param sends_s: arrival times of the requests with that part.
    :param named_s: time at which an upstream named its limit, by upstream.
    :param limits: limits that upstreams have named, by upstream.
    :param arrivals_s: arrival times of all requests, by upstream.
    """

    crashes_s: list = field(default_factory=list)
    sends_s: list = field(default_factory=list)
    named_s: dict = field(default_factory=dict)
    limits: dict = field(default_factory=dict)
    arrivals_s: dict = field(default_factory=dict)
    tasks: set = field(default_factory=set)

    def record_arrival(self, upstream, prefix):
        """Record that a request has reached an upstream."""
        now_s = asyncio.get_running_loop().time()
        self.arrivals_s.setdefault(upstream, []).append(now_s)
        if is_crashing(prefix):
            self.sends_s.append(now_s)

    def name_limit(self, upstream, limit):
        """Let an upstream name a limit from now on."""
        self.named_s[upstream] = asyncio.get_running_loop().time()
        self.limits[upstream] = limit

    def crash(self, upstream):
        """Crash an upstream, which starts again."""
        self.crashes_s.append(asyncio.get_running_loop().time())
        self.tasks.add(asyncio.create_task(upstream.restart(1.0)))

    def faults(self, quiet_s):
        """Yield the violated bounds of the time after the last fault.

        :param quiet_s: time of the last fault; hosts in touch are bound from
            ``CONTACT_S`` after it.
        """
        first_s = quiet_s + CONTACT_S
        if len(self.crashes_s) >= FIRST_CRASHES:
            since_s = max(first_s, self.crashes_s[FIRST_CRASHES - 1] + CONTACT_S)
            later = sum(sent_s > since_s for sent_s in self.sends_s)
            if later > MAX_LATER_SENDS:
                yield f"BUDGET: {later} requests with a part that crashes upstreams"
        for upstream, limit in self.limits.items():
            since_s = max(first_s, self.named_s[upstream] + CONTACT_S)
            arrivals_s = self.arrivals_s.get(upstream, ())
            late_s = [at_s for at_s in arrivals_s if at_s >= since_s]
            allowed = OVER_RATIO * float(limit) * WINDOW_S + OVER_REQUESTS
            for start_s in late_s:
                got = sum(start_s <= at_s < start_s + WINDOW_S for at_s in late_s)
                if got > allowed:
                    yield f"LIMIT: {upstream} got {got} in 4 s, at {limit} a second"
                    break
