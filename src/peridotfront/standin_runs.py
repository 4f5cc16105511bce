"""Runs of the stand-in engine and their answers."""

import asyncio
import json
from collections.abc import Iterator
from dataclasses import dataclass, field

from pydantic import BaseModel, ConfigDict, Field

from .prompts import chat_prompt

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
DONE_EVENT = b"data: [DONE]\n\n"


class ChatMessage(BaseModel):
    """Message of a chat."""

    role: str
    content: str


class CompletionBody(BaseModel):
    """Body of a chat or plain completion request."""

    model_config = ConfigDict(extra="ignore")

    model: str
    prompt: str = ""
    messages: tuple[ChatMessage, ...] = ()
    max_tokens: int = Field(default=16, ge=1, le=1_000_000)
    stream: bool = False

    @property
    def full_prompt(self) -> str:
        """Return the prompt as the model gets it."""
        if not self.messages:
            return self.prompt
        return chat_prompt([(m.role, m.content) for m in self.messages])


@dataclass(slots=True)
class Run:
    """Run of a request, with the part of its answer that is produced."""

    run_id: int
    request_id: str
    target: str
    raw_body: bytes
    body: CompletionBody
    texts: Iterator[str]
    prompt_tokens: int
    cached_tokens: int = 0
    produced_tokens: int = 0
    text_parts: list[str] = field(default_factory=list)
    answer: bytearray = field(default_factory=bytearray)
    is_done: bool = False
    is_cancelled: bool = False
    is_resumable: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def is_chat(self) -> bool:
        """Return whether this is a chat completion."""
        return self.target == CHAT_PATH

    def wake(self) -> None:
        """Wake the tasks that wait for more of the answer."""
        changed = self.changed
        self.changed = asyncio.Event()
        changed.set()

    def add_token(self, is_last: bool) -> None:
        """Append the next token to the answer."""
        text = next(self.texts)
        self.produced_tokens += 1
        if self.body.stream:
            self.answer += self._event(text, None)
        else:
            self.text_parts.append(text)
        if is_last:
            self._finish()
        self.wake()

    def replay_tokens(self, token_count: int) -> None:
        """Rebuild the tokens of the answer that another engine produced."""
        for _ in range(token_count):
            self.add_token(False)

    def _finish(self) -> None:
        self.is_done = True
        if self.body.stream:
            self.answer += self._event("", "length") + DONE_EVENT
            return
        content = self._envelope() | {
            "choices": [self._choice()],
            "usage": self._usage(),
        }
        self.answer += json.dumps(content).encode()

    def _envelope(self) -> dict:
        name = "chat.completion" if self.is_chat else "text_completion"
        if self.body.stream and self.is_chat:
            name = "chat.completion.chunk"
        return {"id": self.request_id, "object": name, "model": self.body.model}

    def _choice(self) -> dict:
        text = "".join(self.text_parts)
        if self.is_chat:
            part = {"message": {"role": "assistant", "content": text}}
        else:
            part = {"text": text}
        return {"index": 0, **part, "finish_reason": "length"}

    def _event(self, text: str, finish_reason: str | None) -> bytes:
        part = {"delta": {"content": text}} if self.is_chat else {"text": text}
        choice = {"index": 0, **part, "finish_reason": finish_reason}
        content = self._envelope() | {"choices": [choice]}
        if finish_reason:
            content["usage"] = self._usage()
        return b"data: " + json.dumps(content).encode() + b"\n\n"

    def _usage(self) -> dict:
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.produced_tokens,
            "total_tokens": self.prompt_tokens + self.produced_tokens,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }
