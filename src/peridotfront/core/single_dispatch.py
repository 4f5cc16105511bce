"""Dispatch of methods on the type of their first argument, without a wrapper."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any


class dispatchmethod(singledispatchmethod):  # noqa: N801
    """Is ``functools.singledispatchmethod`` for plain functions, but cheaper.

    The one of the standard library copies the attributes of the method at each
    access, which costs several times the call itself.

    Usage::

        class Role:
            @dispatchmethod
            def handle(self, event, now_ms):
                raise TypeError(event)

            @handle.register
            def _(self, event: Tick, now_ms):
                ...
    """

    def __get__(self, obj: Any, cls: type | None = None) -> Callable[..., Any]:
        """Return the method, bound to an object."""
        dispatch = self.dispatcher.dispatch

        def method(argument: Any, *rest: Any) -> Any:
            return dispatch(argument.__class__)(obj, argument, *rest)

        return method
