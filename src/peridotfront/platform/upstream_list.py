"""Client of the platform's list of upstreams."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from ipaddress import IPv4Address
from typing import Annotated, Any
from urllib.parse import quote

from pydantic import AfterValidator, ConfigDict, Field, ValidationError

from .. import logs
from ..core.messages import ListedUpstream
from ..exceptions import AnswerMalformed
from ..http_client import HttpClient, UpstreamTimeouts
from .configuration import WireModel
from .list_page import read_page

TIMEOUTS = UpstreamTimeouts(
    connect_ms=500, first_byte_ms=1000, between_bytes_ms=1000, total_ms=2000
)
MAX_PAGES = 100
# An entry of any length must leave the others of its page readable.
MAX_PAGE_BYTES = 8 * 1024 * 1024
MAX_UPSTREAMS = 20_000
MAX_TEXT_CHARACTERS = 256
MAX_ADDRESS_CHARACTERS = 21
MAX_PORT = 65_535
MAX_SLOTS = 65_535
MAX_UNIX_MS = 2**53
LEAVING_STATES = {"ready": False, "draining": True}


def _check_printable(text: str) -> str:
    if not text.isprintable():
        raise ValueError("has characters that can't be printed")
    return text


def _check_address(address: str) -> str:
    ip, _, port = address.partition(":")
    host = IPv4Address(ip)
    if host.is_unspecified or host.is_multicast or host.is_reserved:
        raise ValueError("is no address of a host")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError("has no port")
    return address


Text = Annotated[
    str, Field(max_length=MAX_TEXT_CHARACTERS), AfterValidator(_check_printable)
]
# It goes into a header field of each request.
InstanceId = Annotated[
    str, Field(max_length=MAX_TEXT_CHARACTERS, pattern=r"^[!-~]([ -~]*[!-~])?$")
]
Address = Annotated[
    str, Field(max_length=MAX_ADDRESS_CHARACTERS), AfterValidator(_check_address)
]


class WireInstance(WireModel):
    """Entry of the list; an upstream that starts again may keep its id.

    Texts and numbers are limited to what messages, header fields and logs can hold,
    since the entry may come from another writer.

    :param version: version of the upstream's software, not of its models.
    :param born: time of its start in Unix milliseconds; 0 if it is not listed.
    """

    model_config = ConfigDict(strict=True)

    id: InstanceId
    service: Text = Field(min_length=1)
    addr: Address
    zone: Text
    slots: int = Field(ge=1, le=MAX_SLOTS)
    state: str
    version: Text = Field(min_length=1)
    born: int = Field(alias="born", default=0, ge=0, le=MAX_UNIX_MS)


@dataclass(frozen=True, slots=True)
class ListPage:
    """Upstreams of one page of the list.

    :param next_token: token of the following page; empty on the last page.
    """

    upstreams: tuple[ListedUpstream, ...]
    next_token: str


class UpstreamListClient:
    """Reader of the platform's list of upstreams.

    :param address: IP address and port of the list.
    """

    def __init__(self, client: HttpClient, address: str):
        self._client = client
        self._address = address

    async def read(self) -> tuple[ListedUpstream, ...]:
        """Fetch all pages of the list and return its upstreams.

        Several entries may have one name, if some of them come from another writer.

        :raises UpstreamError: if a page of the list cannot be read.
        """
        listed: dict[ListedUpstream, None] = {}
        token = ""
        for _ in range(MAX_PAGES):
            page = await self._read_page(token)
            listed.update(dict.fromkeys(page.upstreams))
            token = page.next_token
            if len(listed) > MAX_UPSTREAMS:
                raise AnswerMalformed("the list has too many upstreams", self._address)
            if not token:
                return tuple(listed)
        raise AnswerMalformed("the list has too many pages", self._address)

    async def _read_page(self, token: str) -> ListPage:
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
        return decode_page(body, self._address)


def decode_page(body: bytes, address: str) -> ListPage:
    """Decode one page of the list, without the entries that name no upstream.

    :param address: address of the list, for errors.
    :raises AnswerMalformed: if it is no page of the list.
    """
    try:
        page = read_page(body)
    except ValueError as error:
        raise AnswerMalformed(f"the page of the list {error}", address) from error
    if page.unreadable_entries:
        _log_unreadable(f"{page.unreadable_entries} entries are no JSON")
    return ListPage(tuple(_decode_entries(page.entries)), page.next_token)


def _decode_entries(entries: Iterable[Any]) -> Iterator[ListedUpstream]:
    for entry in entries:
        try:
            wire = WireInstance.model_validate(entry)
        except ValidationError as error:
            _log_unreadable(_format_first_error(error))
            continue
        if wire.state not in LEAVING_STATES:
            _log_unreadable(f"state {wire.state[:MAX_TEXT_CHARACTERS]!r}")
            continue
        yield ListedUpstream(
            name=wire.id,
            service=wire.service,
            address=wire.addr,
            data_centre=wire.zone,
            slots=wire.slots,
            is_leaving=LEAVING_STATES[wire.state],
            software_version=wire.version,
            lifetime=wire.born,
        )


def _log_unreadable(detail: str) -> None:
    logs.write_rate_limited("upstream_entry_unreadable", detail=detail)


def _format_first_error(error: ValidationError) -> str:
    detail = error.errors(include_input=False)[0]
    return f"{'.'.join([str(part) for part in detail['loc']])}: {detail['msg']}"
