"""Requests of callers as the core handles them: their properties without bodies."""

from dataclasses import dataclass

from .fleet import UpstreamKind
from .messages import SlotRequest


@dataclass(frozen=True, slots=True)
class Request:
    """Request of a caller.

    :param request_id: id, unique for each arrival.
    :param key: client account, target and idempotency key, joined; empty if the
        caller gave no key.
    :param fingerprint: hash of the canonical body.
    :param tier: priority tier; 1 is the highest.
    :param deadline_ms: time that the request may wait for its dispatch.
    :param is_idempotent: whether it may safely be executed twice.
    :param is_repeatable: whether it may be retried after it may have been executed.
    :param attempt: number of the caller's attempt; 1 for the first.
    """

    request_id: str
    key: str
    fingerprint: int
    client_account: str
    tier: int
    kind: UpstreamKind
    service: str
    model: str
    prompt_tokens: int
    output_tokens: int
    prefix_hashes: tuple[int, ...]
    deadline_ms: int
    is_idempotent: bool
    is_repeatable: bool = False
    attempt: int = 1

    def build_slot_request(self, cell: str, waited_ms: int) -> SlotRequest:
        """Return the slot request for a cell.

        :param waited_ms: time that the request has waited so far.
        """
        return SlotRequest(
            request_id=self.request_id,
            cell=cell,
            model=self.model,
            tier=self.tier,
            client_account=self.client_account,
            prompt_tokens=self.prompt_tokens,
            output_tokens=self.output_tokens,
            prefix_hashes=self.prefix_hashes,
            fingerprint=self.fingerprint,
            deadline_ms=max(0, self.deadline_ms - waited_ms),
        )
