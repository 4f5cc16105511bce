"""Admin page of an entry host: the upstreams whose cells it schedules."""

from collections.abc import Callable

from .admin import AdminAnswer, AdminPages, AdminRequest, build_json_answer
from .admin_messages import UpstreamsAnswer, UpstreamStatus
from .core.scheduler_dump import CellDump


class UpstreamsEndpoint:
    """Admin page ``/upstreams``.

    :param host: the entry host's name.
    :param cells: function that returns the state of each cell that the host schedules.

    Usage::

        UpstreamsEndpoint("entry-1", lambda: role.dump().cells).add_to(admin_pages)
    """

    def __init__(self, host: str, cells: Callable[[], tuple[CellDump, ...]]):
        self._host = host
        self._cells = cells

    def add_to(self, pages: AdminPages) -> None:
        """Register the page."""
        pages.add("GET", "/upstreams", self._show)

    async def _show(self, request: AdminRequest) -> AdminAnswer:
        upstreams = [
            UpstreamStatus(
                name=upstream.name,
                cell=cell.cell,
                health=str(upstream.health),
                is_leaving=upstream.is_leaving,
                running=upstream.slots,
                limit_slots=upstream.limit_slots,
                backlog_ms=upstream.backlog_ms,
                used_kv_tokens=upstream.used_kv_tokens,
            )
            for cell in self._cells()
            for upstream in cell.upstreams
        ]
        return build_json_answer(
            UpstreamsAnswer(host=self._host, upstreams=tuple(upstreams))
        )
