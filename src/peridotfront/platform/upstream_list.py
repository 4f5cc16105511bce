"""Client of the platform's list of upstreams."""

import json
from collections.abc import Iterator
from http import HTTPStatus
from typing import Any
from urllib.parse import quote

from pydantic import ConfigDict, Field, ValidationError

from .. import logs
from ..core.messages import ListedUpstream
from ..exceptions import AnswerMalformed
from ..http_client import HttpClient, UpstreamTimeouts
from .configuration import WireModel

TIMEOUTS = UpstreamTimeouts(
    connect_ms=500, first_byte_ms=1000, between_bytes_ms=1000, total_ms=2000
)
MAX_PAGES = 100
MAX_PAGE_BYTES = 1024 * 1024
MAX_UPSTREAMS = 20_000
LEAVING_STATES = {"ready": False, "draining": True}


class WireInstance(WireModel):
    """Entry of the list; its id identifies one incarnation of an upstream.

    :param version: version of the upstream's software, not of its models.
    """

    model_config = ConfigDict(strict=True)

    id: str = Field(min_length=1)
    service: str = Field(min_length=1)
    addr: str = Field(pattern=r"^[0-9.]+:[0-9]+$")
    zone: str
    slots: int = Field(ge=1)
    state: str
    version: str = Field(min_length=1)


class UpstreamListClient:
    """Reader of the platform's list of upstreams.

    :param address: IP address and port of the list.
    """

    def __init__(self, client: HttpClient, address: str):
        self._client = client
        self._address = address

    async def read(self) -> tuple[ListedUpstream, ...]:
        """Fetch all pages of the list and return its upstreams.

        :raises UpstreamError: if a page of the list cannot be read.
        """
        listed: dict[str, ListedUpstream] = {}
        token = ""
        for _ in range(MAX_PAGES):
            entries, token = await self._read_page(token)
            for entry in _decode_entries(entries):
                listed[entry.name] = entry
            if len(listed) > MAX_UPSTREAMS:
                raise AnswerMalformed("the list has too many upstreams", self._address)
            if not token:
                return tuple(listed.values())
        raise AnswerMalformed("the list has too many pages", self._address)

    async def _read_page(self, token: str) -> tuple[list, str]:
        target = "/instances"
        if token:
            target = f"{target}?PageToken={quote(token, safe='')}"
        answer = await self._client.send(
            self._address, "GET", target, timeouts=TIMEOUTS
        )
        body = await answer.read(MAX_PAGE_BYTES)
        if answer.status_code != HTTPStatus.OK:
            raise AnswerMalformed(
                f"unexpected status {answer.status_code}", self._address
            )
        page = _parse_json(body, self._address)
        if not isinstance(page, dict) or not isinstance(page.get("Instances"), list):
            raise AnswerMalformed(
                "the answer is not a list of upstreams", self._address
            )
        next_token = page.get("NextToken")
        return page["Instances"], next_token if isinstance(next_token, str) else ""


def _parse_json(body: bytes, address: str) -> Any:
    # One entry with invalid UTF-8 must not make the other entries unreadable.
    try:
        return json.loads(body.decode("utf-8", "replace"))
    except ValueError as error:
        raise AnswerMalformed("the answer is not JSON", address) from error


def _decode_entries(entries: list) -> Iterator[ListedUpstream]:
    for entry in entries:
        try:
            wire = WireInstance.model_validate(entry)
        except ValidationError as error:
            logs.write("upstream_entry_unreadable", detail=_format_first_error(error))
            continue
        if wire.state not in LEAVING_STATES:
            logs.write("upstream_entry_unreadable", detail=f"state {wire.state!r}")
            continue
        yield ListedUpstream(
            name=wire.id,
            service=wire.service,
            address=wire.addr,
            data_centre=wire.zone,
            slots=wire.slots,
            is_leaving=LEAVING_STATES[wire.state],
            software_version=wire.version,
        )


def _format_first_error(error: ValidationError) -> str:
    detail = error.errors(include_input=False)[0]
    return f"{'.'.join([str(part) for part in detail['loc']])}: {detail['msg']}"
