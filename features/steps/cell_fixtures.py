"""Scheduler with a record of its answers, shared by the steps for cells."""

from peridotfront.core.actions import Received, Send, Tick
from peridotfront.core.fleet import AccountSpec, Fleet, UpstreamKind, UpstreamSpec
from peridotfront.core.messages import (
    Grant,
    HeldSlot,
    Preempt,
    Release,
    ReleaseCause,
    SlotRefusal,
    SlotRequest,
)
from peridotfront.core.scheduler import CellScheduler

TICK_MS = 10
MODEL = "m"


def make_fleet(engines, slots, kind=UpstreamKind.ENGINE):
    service = "pay" if kind is UpstreamKind.SERVICE else ""
    specs = tuple(
        UpstreamSpec(
            name=f"e{index}",
            kind=kind,
            data_centre="dc",
            address="127.0.0.1:1",
            service=service,
            models=(MODEL,),
            max_slots=slots,
        )
        for index in range(engines)
    )
    accounts = tuple(AccountSpec(name, "") for name in ("large", "small"))
    return Fleet(version=1, upstreams=specs, accounts=accounts)


class Cell:
    """Driver of a scheduler that records the messages it sends."""

    def __init__(self, fleet, is_settled=True):
        self.fleet = fleet
        self.now_ms = 0
        self.scheduler = CellScheduler(fleet.upstreams[0].cell, fleet)
        self.sent = []
        self.slot_requests = {}
        if is_settled:
            self.step(Tick())
            self.now_ms = 1000
            self.step(Tick())

    def step(self, event):
        actions = list(self.scheduler.handle(event, self.now_ms))
        self.sent.extend(action for action in actions if isinstance(action, Send))
        return actions

    def receive(self, host, message):
        return self.step(Received(host, 1, message))

    def request_slot(self, request_id, tier=1, host="h", **fields):
        values = {
            "model": MODEL,
            "client_account": "large",
            "prompt_tokens": 100,
            "output_tokens": 50,
            "prefix_hashes": (),
            "fingerprint": hash(request_id) & 0xFFFFFFFF,
            "deadline_ms": 1500,
        }
        values.update(fields)
        cell = self.scheduler.cell
        slot_request = SlotRequest(
            request_id=request_id, cell=cell, tier=tier, **values
        )
        self.slot_requests[request_id] = slot_request
        return self.receive(host, slot_request)

    def release(self, request_id, cause=ReleaseCause.COMPLETED, host=None, **fields):
        send = self.answers(request_id, Grant)[-1]
        slot_request = self.slot_requests[request_id]
        values = {
            "cached_tokens": send.message.predicted_prefix_tokens,
            "produced_tokens": slot_request.output_tokens,
            "first_token_ms": 50,
            "duration_ms": 1000,
        }
        values.update(fields)
        release = Release(
            request_id=request_id,
            cell=self.scheduler.cell,
            upstream=send.message.upstream,
            cause=cause,
            prompt_tokens=slot_request.prompt_tokens,
            **values,
        )
        return self.receive(host or send.to_host, release)

    def hold(self, request_id, host, upstream, produced_tokens=0, **fields):
        slot_request = self.slot_requests[request_id]
        held = HeldSlot(slot_request, upstream, produced_tokens, **fields)
        return self.receive(host, held)

    def pass_time(self, duration_ms, renew_slots=False):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            self.step(Tick())
            if renew_slots and self.now_ms % 500 == 0:
                self.renew_all()

    def renew_all(self):
        for request_id, upstream in self.held().items():
            host = self.answers(request_id, Grant)[-1].to_host
            self.hold(request_id, host, upstream, self.now_ms // 10)

    def held(self):
        ungranted = {
            request_id
            for request_id in self.slot_requests
            if not self.answers(request_id, Grant)
        }
        return {
            request_id: self.answers(request_id, Grant)[-1].message.upstream
            for request_id in self.slot_requests
            if request_id not in ungranted and request_id in self.scheduler._slots
        }

    def answers(self, request_id, kind=(Grant, SlotRefusal)):
        return [
            send
            for send in self.sent
            if send.message.request_id == request_id and isinstance(send.message, kind)
        ]

    def sent_with(self, kind):
        return [send for send in self.sent if isinstance(send.message, kind)]

    def upstream(self, name):
        return next(u for u in self.scheduler.dump().upstreams if u.name == name)

    @property
    def slots_in_use(self):
        return sum(upstream.slots for upstream in self.scheduler.dump().upstreams)

    def preempted(self):
        return self.sent_with(Preempt)
