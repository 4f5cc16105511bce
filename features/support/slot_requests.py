"""Slot requests for tests that are about something else than their fields."""

from peridotfront.core.messages import SlotRequest


def plain_slot_request(request_id, **fields):
    """Return a slot request of the service ``s`` without a prompt.

    :param fields: fields that differ from the usual ones.
    """
    usual = {
        "cell": "s",
        "model": "",
        "tier": 1,
        "client_account": "club",
        "prompt_tokens": 0,
        "output_tokens": 0,
        "prefix_hashes": (),
        "fingerprint": 0,
        "deadline_ms": 3000,
        "goal_ms": 300,
    }
    return SlotRequest(request_id=request_id, **{**usual, **fields})
