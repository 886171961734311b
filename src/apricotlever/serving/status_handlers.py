"""HTTP handlers for readiness checks, lookups of VMs and metrics."""

import typing

from ..vms import caller_addresses

from . import caller_channel
from . import dialects
from . import reply_writer

#: How long callers may cache the list of VMs, in seconds. With a short time,
#: they soon stop using a VM that has ended. Lookups are cheap.
LOOKUP_TTL_S = 1.0


class NodeStatus(typing.Protocol):
    """The status of a node, one entry VM, as the handlers report it."""

    @property
    def ready(self) -> bool:
        """Whether callers should be sent to this VM."""

    def caller_addresses(self) -> list[str]:
        """Addresses of the VMs that serve callers."""

    def metrics(self) -> str:
        """All metrics in the text format of Prometheus."""


class StatusHandlers:
    """Handlers of requests about this VM, other than callers' calls.

    :param node: the node whose status is reported.
    :param dialect: the paths and formats of the answers.
    """

    __slots__ = ("_dialect", "_node")

    def __init__(
        self, node: NodeStatus, dialect: dialects.CallerDialect
    ) -> None:
        self._node = node
        self._dialect = dialect

    async def ready(
        self, raw: caller_channel.RawRequest, reply: reply_writer.ReplyWriter
    ) -> None:
        """Answer a readiness check of the platform: 200 if ready, else 503."""
        if raw.target.partition("?")[0] != self._dialect.ready_path:
            reply.send_whole(404, ())
            return
        reply.send_whole(200 if self._node.ready else 503, ())

    async def lookup(
        self, raw: caller_channel.RawRequest, reply: reply_writer.ReplyWriter
    ) -> None:
        """Answer a lookup of the VMs that a caller should use.

        The answer is 503 if no VM is ready.
        """
        if raw.target.partition("?")[0] != self._dialect.lookup_path:
            reply.send_whole(404, ())
            return
        addresses = self._node.caller_addresses()
        if not addresses:
            reply.send_whole(503, ())
            return
        selected = caller_addresses.select(
            addresses, reply.caller_host, self._dialect.max_addresses
        )
        body = self._dialect.lookup_body(selected, LOOKUP_TTL_S)
        reply.send_whole(200, [(b"Content-Type", b"application/json")], body)

    async def metrics(
        self, raw: caller_channel.RawRequest, reply: reply_writer.ReplyWriter
    ) -> None:
        """Answer a request for this VM's metrics."""
        body = self._node.metrics().encode()
        reply.send_whole(200, [(b"Content-Type", b"text/plain")], body)
