"""Rollout of a service to a second software version, beside the faults of a run."""

import asyncio
import random
from dataclasses import dataclass

from .rollout_operator import ROLLOUT_SETTINGS, RolloutOperator
from .untrue_answers import UntrueUpstream
from .world import NETWORK

ROLLOUT_SHARE = 0.5
SERVICE = "ledger"
VERSION = "v2"
FIRST_NUMBER = 200
PERIOD_S = 6.0
BAD_SHARE = 0.6
BEGIN_S = (1.0, 3.0)
LIST_LEAD_S = 0.7
# A host that starts can't know which version is new; one that ran before can.
STEADY_S = 2.0
ORDER_TIMEOUT_S = 12.0
READ_INTERVAL_S = 0.2


@dataclass
class RolledUpstream(UntrueUpstream):
    """Upstream of the new version, which may fail a part of its requests.

    :param rollout: rollout to which it belongs.
    """

    rollout: object = None

    async def _answer(self, exchange, request_id, attempt_header):
        self.rollout.record_run(request_id)
        if self.rollout.is_bad and self.draws.random() < BAD_SHARE:
            await exchange.respond(500, [attempt_header], b"failed")
            return
        await super()._answer(exchange, request_id, attempt_header)


class SoakRollout:
    """Rollout of a seed; part of the seeds have none.

    :param seed: seed of the run; other draws of it don't depend on these.
    :param is_allowed: whether all hosts know rollouts.
    :param faults: descriptions of violated guarantees, which grow.
    :param log: function that records an event of the run.
    """

    def __init__(self, seed, deployment, faults, log, *, is_allowed):
        self._draws = random.Random(f"rollout {seed}")
        self.is_active = is_allowed and self._draws.random() < ROLLOUT_SHARE
        self.is_bad = self._draws.random() < 0.5
        self.upstreams = []
        self.state = ""
        self.exposed = 0
        self._faults = faults
        self._log = log
        self._deployment = deployment
        self._early = []
        self._is_ordered = False
        if self.is_active:
            for host in deployment.hosts:
                host.extra_settings = ROLLOUT_SETTINGS

    def __str__(self):
        if not self.is_active:
            return "none"
        kind = "bad" if self.is_bad else "good"
        return f"{kind} {self.state or 'not ordered'} after {self.exposed} requests"

    def build_upstreams(self, count, **options):
        """Build the upstreams of the new version.

        :param options: fields that all upstreams of the run share.
        """
        if not self.is_active:
            return
        self.upstreams = [
            RolledUpstream(
                f"r{number}",
                SERVICE,
                f"{NETWORK}.8.{FIRST_NUMBER + number}",
                version=VERSION,
                draws=random.Random(self._draws.random()),
                rollout=self,
                **options,
            )
            for number in range(1, count + 1)
        ]

    def record_run(self, request_id):
        """Record a request that the new version runs."""
        self.exposed += 1
        if not self._is_ordered:
            self._early.append(request_id)

    async def run(self, listed, end_s):
        """Order the rollout and follow its state to the end of the run.

        :param listed: listed upstreams, to which those of the new version are added.
        """
        if not self.is_active:
            return
        operator = RolloutOperator(self._deployment.controls, self._draws, self._faults)
        await asyncio.sleep(self._draws.uniform(*BEGIN_S))
        before = self._pids()
        await asyncio.sleep(STEADY_S)
        listed.extend(self.upstreams)
        await asyncio.sleep(LIST_LEAD_S)
        self._is_ordered = True
        if self._early and self._pids() == before:
            self._faults.append(f"ROLLOUT: ran before the order: {self._early}")
        await self._order(operator)
        while asyncio.get_running_loop().time() < end_s:
            await self._read(operator)
            await asyncio.sleep(READ_INTERVAL_S)
        await operator.close()

    def _pids(self):
        return [host.pid for host in self._deployment.hosts]

    async def _order(self, operator):
        status = await operator.order(SERVICE, VERSION, PERIOD_S, ORDER_TIMEOUT_S)
        self._log("rollout", "bad" if self.is_bad else "good", status)
        if status not in (0, 200):
            self._faults.append(f"ROLLOUT: the order was answered with {status}")

    async def _read(self, operator):
        state = await operator.read(SERVICE)
        if not state or state == self.state:
            return
        self.state = state
        self._log("rollout", state)
        if state == "complete" and self.is_bad:
            self._faults.append("ROLLOUT: a bad version is complete")
        if state == "reverted":
            for upstream in self.upstreams:
                upstream.state = "draining"
