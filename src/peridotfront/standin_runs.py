"""Runs of the stand-in engine and the answers that they produce."""

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
    """Is one message of a chat."""

    role: str
    content: str


class CompletionBody(BaseModel):
    """Is the body of a completion request, of either kind."""

    model_config = ConfigDict(extra="ignore")

    model: str
    prompt: str = ""
    messages: tuple[ChatMessage, ...] = ()
    max_tokens: int = Field(default=16, ge=1, le=1_000_000)
    stream: bool = False

    @property
    def full_prompt(self) -> str:
        """Return the prompt that the model sees."""
        if not self.messages:
            return self.prompt
        return chat_prompt([(m.role, m.content) for m in self.messages])


@dataclass(slots=True)
class Run:
    """Is one run of a request and the answer as far as it is produced."""

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
    is_gone: bool = False
    is_resumable: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def is_chat(self) -> bool:
        """Tell which of the two kinds of completion was asked for."""
        return self.target == CHAT_PATH

    def wake(self) -> None:
        """Wake whoever waits for more of the answer."""
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

    def skip_tokens(self, skipped: int) -> None:
        """Rebuild the part of the answer that another engine produced."""
        for _ in range(skipped):
            self.add_token(False)

    def _finish(self) -> None:
        self.is_done = True
        if self.body.stream:
            self.answer += self._event("", "length") + DONE_EVENT
            return
        content = self._head() | {"choices": [self._choice()], "usage": self._usage()}
        self.answer += json.dumps(content).encode()

    def _head(self) -> dict:
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
        content = self._head() | {"choices": [choice]}
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
