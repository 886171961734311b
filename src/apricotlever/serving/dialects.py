"""Interfaces of the platform's protocols, and a registry for dialects.

A dialect translates between the wire formats and the types of
:mod:`.messages` and :mod:`.configuration_model`. It makes no decisions and has
no state.
"""

import typing

from ..roll_outs import model as roll_outs_model

from . import configuration_model
from . import messages
from . import runners
from . import store

_Class = typing.TypeVar("_Class", bound=type)


class UnknownDialectError(Exception):
    """No dialect is registered under the given name."""

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(f"no {kind} dialect is registered as {name!r}")


class CallerDialect(typing.Protocol):
    """The protocol of callers."""

    def parse_call(
        self,
        method: str,
        target: str,
        headers: messages.Headers,
        body: bytes,
        received_at: float,
    ) -> messages.CallerCall:
        """Translate a call.

        :param received_at: time of receipt on the event loop's clock, in
            seconds.
        :raises ValueError: for malformed headers.
        """

    @property
    def ready_path(self) -> str:
        """Path at which the platform checks whether this VM is ready."""

    @property
    def lookup_path(self) -> str:
        """Path at which callers look up the VMs to use."""

    def lookup_body(
        self, addresses: typing.Sequence[str], ttl_s: float
    ) -> bytes:
        """Body of the response that lists the VMs to use.

        :param ttl_s: how long callers may cache the list, in seconds.
        """

    def refusal_headers(
        self, call: messages.CallerCall | None
    ) -> list[tuple[bytes, bytes]]:
        """Headers of a response that does not come from a runner."""

    def forwarded_headers(
        self, head: messages.RunnerResponseHead
    ) -> list[tuple[bytes, bytes]]:
        """Headers of a runner's response that are forwarded to the caller."""


class RunnerDialect(typing.Protocol):
    """The protocol of runners."""

    def encode_request(
        self,
        call: messages.CallerCall,
        parameters: messages.RunnerCallParameters,
    ) -> bytes:
        """The complete request to a runner."""

    def parse_response_head(
        self, status: int, headers: messages.Headers
    ) -> messages.RunnerResponseHead:
        """Translate the head of a runner's response."""


class PlatformDialect(typing.Protocol):
    """Formats of the platform's store and of the requests to its services."""

    @property
    def configuration_kind(self) -> str:
        """Kind of the object that holds the configuration."""

    @property
    def configuration_name(self) -> str:
        """Name of the object that holds the configuration."""

    @property
    def runners_kind(self) -> str:
        """Kind of the objects that describe the runners."""

    @property
    def roll_outs_kind(self) -> str:
        """Kind of the roll-out orders; each has the name of its service."""

    def parse_roll_out(
        self, stored: store.StoredObject, received_at: float
    ) -> roll_outs_model.RollOutOrder:
        """Translate a roll-out order.

        :param received_at: time of receipt, in seconds since 1970.
        :raises ValueError: when the order is invalid.
        """

    def encode_roll_out_status(
        self,
        order: roll_outs_model.RollOutOrder,
        state: roll_outs_model.RollOutState,
    ) -> store.Json:
        """The status document of a roll-out order."""

    def parse_configuration(
        self, spec: store.Json
    ) -> configuration_model.Configuration:
        """Translate a configuration.

        :raises ValueError: when the configuration is invalid.
        """

    def parse_runner(self, stored: store.StoredObject) -> runners.RunnerEntry:
        """Translate a runner's entry; an invalid entry raises no error."""

    def store_codec(self) -> store.Codec:
        """The codec of requests to the store."""

    def usage_report_request(
        self, window: int, counts: typing.Mapping[str, int]
    ) -> tuple[str, bytes]:
        """Path and body of a usage report."""

    def runner_order_request(
        self, service: str, data_centre: str, count: int, reclaimable: bool
    ) -> tuple[str, bytes]:
        """Path and body of an order that sets a number of runners."""

    def lease_holder_headers(
        self, holder: str, fencing: int
    ) -> list[tuple[bytes, bytes]]:
        """Headers that identify the lease holder that sends an order."""


class Dialect:
    """The dialects that a platform's adapter provides.

    :param callers: the protocol of callers.
    :param upstreams: the protocol of runners.
    :param platform: the formats of the store and the platform's services.
    """

    __slots__ = ("callers", "upstreams", "platform")

    def __init__(
        self,
        callers: CallerDialect,
        upstreams: RunnerDialect,
        platform: PlatformDialect,
    ) -> None:
        self.callers = callers
        self.upstreams = upstreams
        self.platform = platform


_DIALECTS: dict[str, typing.Callable[[], Dialect]] = {}


def register_dialect(
    name: str,
) -> typing.Callable[
    [typing.Callable[[], Dialect]], typing.Callable[[], Dialect]
]:
    """Register a factory of a dialect under a name."""

    def decorate(
        factory: typing.Callable[[], Dialect],
    ) -> typing.Callable[[], Dialect]:
        _DIALECTS[name] = factory
        return factory

    return decorate


def create_dialect(name: str) -> Dialect:
    """Create the dialect that is registered under a name.

    :raises UnknownDialectError: when no dialect is registered under the name.
    """
    if name not in _DIALECTS:
        raise UnknownDialectError("platform", name)
    return _DIALECTS[name]()
