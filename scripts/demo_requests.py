"""Sends requests through the demonstration and shows their answers.

Exits with 1 if an answer is not what it should be.
"""

import http.client
import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path

COUNTER_KEY = "demo-counter-key"
TIMEOUT_S = 30
TRIES = 20
RETRY_S = 0.5
LATER_CODES = (429, 503)
SHOWN_CHARACTERS = 160


@dataclass(frozen=True, slots=True)
class Answer:
    """Is a whole answer."""

    code: int
    body: bytes
    retry_after_s: float


def send_once(
    address: str, path: str, body: dict, key: str, idempotency_key: str
) -> Answer:
    """Send one request and read the whole answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    headers = {"authorization": f"Bearer {key}", "content-type": "application/json"}
    if idempotency_key:
        headers["idempotency-key"] = idempotency_key
    connection.request("POST", path, json.dumps(body), headers)
    reply = connection.getresponse()
    retry_after_s = float(reply.headers.get("retry-after", RETRY_S))
    answer = Answer(reply.status, reply.read(), retry_after_s)
    connection.close()
    return answer


def send(
    address: str,
    path: str,
    body: dict,
    key: str = COUNTER_KEY,
    idempotency_key: str = "",
) -> Answer:
    """Send a request; come back when a refusal says so."""
    for _ in range(TRIES):
        answer = send_once(address, path, body, key, idempotency_key)
        if answer.code not in LATER_CODES:
            return answer
        time.sleep(min(answer.retry_after_s, 1))
    return answer


def show(title: str, answer: Answer, code: int) -> bool:
    """Print an answer; tell whether its status is the one expected."""
    text = answer.body.decode(errors="replace").replace("\n", " ")
    cut = "..." if len(text) > SHOWN_CHARACTERS else ""
    print(f"{title}\n  {answer.code} {text[:SHOWN_CHARACTERS]}{cut}")
    return answer.code == code


def main(folder: Path) -> int:
    """Send all requests; return an exit code."""
    first, second = (folder / "callers.txt").read_text().split()
    chat = {
        "model": "small",
        "messages": [{"role": "user", "content": "What is hallmark 375?"}],
        "max_tokens": 12,
    }
    transfer = {"to": "seller-17", "pence": 12500}
    path = "/services/payout/transfers"
    chat_path = "/v1/chat/completions"
    good = [
        show("A chat by entry-1:", send(first, chat_path, chat), 200),
        show(
            "The same streamed by entry-2:",
            send(second, chat_path, {**chat, "stream": True}),
            200,
        ),
    ]
    paid = send(first, path, transfer, idempotency_key="payout-17")
    good.append(show("A transfer by entry-1:", paid, 200))
    again = send(second, path, transfer, idempotency_key="payout-17")
    good.append(show("The same transfer again, by entry-2:", again, 200))
    good.append(again.body == paid.body)
    other = {**transfer, "pence": 1}
    reused = send(first, path, other, idempotency_key="payout-17")
    good.append(show("Another transfer with the same key:", reused, 422))
    keyless = send(first, path, transfer)
    good.append(show("A transfer without a key:", keyless, 400))
    stranger = send(first, chat_path, chat, key="nobody")
    good.append(show("A chat of a stranger:", stranger, 401))
    runs = (folder / "payout-1.runs").read_text().splitlines()
    print(f"The payout service ran {len(runs)} transfer(s).")
    good.append(len(runs) == 1)
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1])))
