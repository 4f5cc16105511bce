"""Messages of the model engine's own API, checked at the border."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

MAX_INT64 = 2**63 - 1


class _Body(BaseModel):
    model_config = ConfigDict(frozen=True)


class EngineCacheEvent(_Body):
    """Tells which prefix blocks entered and left the cache of an engine."""

    sequence: int = Field(ge=0, le=MAX_INT64)
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


class EngineReport(_Body):
    """Is what an engine says of itself; the load is old, events come late.

    :param running: requests in the present batch.
    :param waiting: requests that wait for memory.
    :param events: published cache events after the one that was asked for.
    """

    is_leaving: bool = False
    running: int = 0
    waiting: int = 0
    queued_prefill_tokens: int = 0
    used_kv_tokens: int = 0
    capacity_kv_tokens: int = 0
    events: tuple[EngineCacheEvent, ...] = ()
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()
    role: str = ""


class EngineOrder(_Body):
    """Orders an engine to load or unload something, or to change its role.

    :param order_id: the same for a repeat of the same order.
    :param term: first part of the fencing token.
    :param sequence: second part of the fencing token.
    """

    order_id: str = Field(min_length=1, max_length=200)
    kind: Literal[
        "load_model", "unload_model", "load_adapter", "load_version", "set_role"
    ]
    name: str = Field(min_length=1, max_length=200)
    term: int = Field(ge=0, le=MAX_INT64)
    sequence: int = Field(ge=0, le=MAX_INT64)


class OrderResult(_Body):
    """Is the engine's word on an order."""

    is_accepted: bool
    detail: str = ""


class ExportedKv(_Body):
    """Is a request taken out of an engine together with its KV cache."""

    request_id: str
    target: str
    body: str
    produced_tokens: int = Field(ge=0, le=MAX_INT64)
