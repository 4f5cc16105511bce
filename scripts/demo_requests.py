"""Sends requests through the demo deployment and prints their answers.

Exits with 1 if an answer is not as expected.
"""

import http.client
import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path

COUNTER_KEY = "demo-counter-key"
TIMEOUT_S = 30
MAX_ATTEMPTS = 20
DEFAULT_RETRY_S = 0.5
RETRYABLE_CODES = (429, 503)
SHOWN_CHARACTERS = 160


@dataclass(frozen=True, slots=True)
class Answer:
    """Complete HTTP answer."""

    code: int
    body: bytes
    retry_after_s: float


def send_once(
    address: str, path: str, body: dict, key: str, idempotency_key: str
) -> Answer:
    """Send a request and read the complete answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    headers = {"authorization": f"Bearer {key}", "content-type": "application/json"}
    if idempotency_key:
        headers["idempotency-key"] = idempotency_key
    connection.request("POST", path, json.dumps(body), headers)
    reply = connection.getresponse()
    retry_after_s = float(reply.headers.get("retry-after", DEFAULT_RETRY_S))
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
    """Send a request and retry as long as it is refused for now."""
    for _ in range(MAX_ATTEMPTS):
        answer = send_once(address, path, body, key, idempotency_key)
        if answer.code not in RETRYABLE_CODES:
            return answer
        time.sleep(min(answer.retry_after_s, 1))
    return answer


def show(title: str, answer: Answer, code: int) -> bool:
    """Print an answer and return whether it has the expected status code."""
    text = answer.body.decode(errors="replace").replace("\n", " ")
    ellipsis = "..." if len(text) > SHOWN_CHARACTERS else ""
    print(f"{title}\n  {answer.code} {text[:SHOWN_CHARACTERS]}{ellipsis}")
    return answer.code == code


def main(folder: Path) -> int:
    """Send all requests and return the exit code."""
    first, second = (folder / "callers.txt").read_text().split()
    chat = {
        "model": "small",
        "messages": [{"role": "user", "content": "What is hallmark 375?"}],
        "max_tokens": 12,
    }
    transfer = {"to": "seller-17", "pence": 12500}
    path = "/services/payout/transfers"
    chat_path = "/v1/chat/completions"
    checks = [
        show("A chat through entry-1:", send(first, chat_path, chat), 200),
        show(
            "The same chat, streamed, through entry-2:",
            send(second, chat_path, {**chat, "stream": True}),
            200,
        ),
    ]
    first_payment = send(first, path, transfer, idempotency_key="payout-17")
    checks.append(show("A transfer through entry-1:", first_payment, 200))
    repeated_payment = send(second, path, transfer, idempotency_key="payout-17")
    checks.append(
        show("The same transfer repeated through entry-2:", repeated_payment, 200)
    )
    checks.append(repeated_payment.body == first_payment.body)
    changed_transfer = {**transfer, "pence": 1}
    reused = send(first, path, changed_transfer, idempotency_key="payout-17")
    checks.append(
        show("A different transfer with the same idempotency key:", reused, 422)
    )
    keyless = send(first, path, transfer)
    checks.append(show("A transfer without an idempotency key:", keyless, 400))
    unauthenticated = send(first, chat_path, chat, key="nobody")
    checks.append(show("A chat with an unknown API key:", unauthenticated, 401))
    runs = (folder / "payout-1.runs").read_text().splitlines()
    print(f"The payout service executed {len(runs)} transfer(s).")
    checks.append(len(runs) == 1)
    return 0 if all(checks) else 1


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1])))
