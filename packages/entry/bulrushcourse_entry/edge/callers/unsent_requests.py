"""Requests of which nothing has been sent to an upstream yet.

A planned stop refuses those that can't be sent any more, whatever they wait
for: the configuration, a token, room, their body or a connection.
"""

import asyncio
import typing

import attrs

from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.callers import caller_request
from bulrushcourse_entry.edge.callers import outcomes

Result = typing.TypeVar('Result')


class Unsent(typing.Protocol):
    """A request that has not been sent."""

    @property
    def deadline(self) -> float:
        """Time when it is answered at the latest, monotonic seconds."""
        ...


@attrs.define(eq=False)
class UnsentRequests:
    """Serves requests until they are sent, or until a stop refuses them.

    Attributes:
        state: The process state.
        scopes: The work on each unsent request. A scope with a time is being
            cancelled.
        refuses_all: Whether the time limit of a planned stop has passed.
    """

    state: process_state.ProcessState
    scopes: dict[Unsent, asyncio.Timeout] = attrs.field(factory=dict)
    refuses_all: bool = False

    async def run(
        self,
        request: Unsent,
        work: typing.Coroutine[typing.Any, typing.Any, Result],
    ) -> Result | outcomes.Refusal:
        """Return the result of work on a request, or refuse the request.

        The work is cancelled if a planned stop refuses the request before it
        is sent.

        Args:
            request: The request.
            work: What is done for it.
        """
        if not self._may_begin(request):
            work.close()
            return outcomes.STOPPING
        scope = asyncio.timeout(None)
        self.scopes[request] = scope
        try:
            async with scope:
                return await work
        except TimeoutError:
            if not scope.expired():
                raise
            return outcomes.STOPPING
        finally:
            self.scopes.pop(request, None)

    def begin_send(self, request: caller_request.CallerRequest) -> bool:
        """Return whether a request may be written to an upstream now.

        Afterwards a planned stop no longer refuses it, since it may run.

        Args:
            request: The request.
        """
        scope = self.scopes.get(request)
        if scope is not None and scope.when() is not None:
            return False
        if not request.may_have_run and not self._may_begin(request):
            return False
        self.scopes.pop(request, None)
        return True

    def refuse_late(self) -> None:
        """Refuse the requests that may not be begun any more."""
        now = asyncio.get_running_loop().time()
        for request, scope in self.scopes.items():
            if scope.when() is None and not self._may_begin(request):
                scope.reschedule(now)

    def refuse_all(self) -> None:
        """Refuse all requests that were not sent, also later ones."""
        self.refuses_all = True
        self.refuse_late()

    def _may_begin(self, request: Unsent) -> bool:
        if self.state.planned_stop is None:
            return True
        return not self.refuses_all and self.state.may_begin(request.deadline)
