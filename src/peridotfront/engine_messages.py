"""Pydantic models of the messages in the API of model engines."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

MAX_INT64 = 2**63 - 1


class _EngineMessage(BaseModel):
    model_config = ConfigDict(frozen=True)


class EngineCacheEvent(_EngineMessage):
    """Prefix blocks that entered and left the cache of an engine."""

    sequence: int = Field(ge=0, le=MAX_INT64)
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


class EngineReport(_EngineMessage):
    """Report of an engine on its state; the load and the events lag behind.

    :param running: number of requests in the current batch.
    :param waiting: number of requests that wait for memory.
    :param events: published cache events after the requested sequence number.
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


class EngineOrder(_EngineMessage):
    """Order to an engine to load or unload a model, or to change its role.

    :param order_id: id of the order; the same when the order is sent again.
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


class OrderResult(_EngineMessage):
    """Reply of an engine to an order."""

    is_accepted: bool
    detail: str = ""


class ExportedKv(_EngineMessage):
    """Request exported from an engine together with its KV cache."""

    request_id: str
    target: str
    body: str
    produced_tokens: int = Field(ge=0, le=MAX_INT64)
