"""Answers the platform's checks, callers' lookups and metrics readers."""

import typing

from . import callers
from . import dialects
from . import replies

#: How long callers keep the list of VMs, in seconds. The shorter it is, the
#: sooner they leave a VM that is gone; a lookup costs little.
LOOKUP_TTL_S = 1.0


class NodeStatus(typing.Protocol):
    """What the checks ask a node."""

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""

    def caller_addresses(self) -> list[str]:
        """Addresses for callers."""

    def metrics(self) -> str:
        """All metrics as text."""


class StatusHandlers:
    """Handlers of the small servers.

    :param node: what is asked.
    """

    __slots__ = ("_dialect", "_node")

    def __init__(
        self, node: NodeStatus, dialect: dialects.CallerDialect
    ) -> None:
        self._node = node
        self._dialect = dialect

    async def ready(self, raw: callers.RawCall, reply: replies.Reply) -> None:
        """Whether callers may be sent here."""
        if raw.target.partition("?")[0] != self._dialect.ready_path:
            reply.whole(404, ())
            return
        reply.whole(200 if self._node.ready else 503, ())

    async def lookup(self, raw: callers.RawCall, reply: replies.Reply) -> None:
        """Which VMs a caller should use."""
        if raw.target.partition("?")[0] != self._dialect.lookup_path:
            reply.whole(404, ())
            return
        addresses = self._node.caller_addresses()
        if not addresses:
            reply.whole(503, ())
            return
        body = self._dialect.lookup_answer(addresses, LOOKUP_TTL_S)
        reply.whole(200, [(b"Content-Type", b"application/json")], body)

    async def metrics(
        self, raw: callers.RawCall, reply: replies.Reply
    ) -> None:
        """All metrics as text."""
        body = self._node.metrics().encode()
        reply.whole(200, [(b"Content-Type", b"text/plain")], body)
