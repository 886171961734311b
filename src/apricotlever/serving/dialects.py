"""Interfaces and registry of dialects, the translators of wire formats.

The platform's callers, runners and store use formats of their own. A dialect
translates between them and the types of :mod:`.messages`, :mod:`.runners` and
:mod:`.configuration_model`. It makes no decisions and has no state.
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
    """Translates callers' requests, and the responses to them."""

    def parse_call(
        self,
        method: str,
        target: str,
        headers: messages.Headers,
        body: bytes,
        received_at: float,
    ) -> messages.CallerCall:
        """Translate a caller's request into a call.

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

    @property
    def max_addresses(self) -> int:
        """The number of VMs that callers read from the answer to a lookup."""

    def lookup_body(
        self, addresses: typing.Sequence[str], ttl_s: float
    ) -> bytes:
        """Body of the response that lists the VMs to use.

        :param ttl_s: how long callers may cache the list, in seconds.
        """

    def refusal_headers(
        self, call: messages.CallerCall | None
    ) -> list[tuple[bytes, bytes]]:
        """Headers of a response that does not come from a runner.

        :param call: the call that is refused; None if it was not readable.
        """

    def forwarded_headers(
        self, head: messages.RunnerResponseHead
    ) -> list[tuple[bytes, bytes]]:
        """Headers of a runner's response that are forwarded to the caller."""


class RunnerDialect(typing.Protocol):
    """Translates requests to runners, and their responses."""

    def encode_request(
        self,
        call: messages.CallerCall,
        parameters: messages.RunnerCallParameters,
    ) -> bytes:
        """The bytes of the request that sends a call to a runner."""

    def parse_response_head(
        self, status: int, headers: messages.Headers
    ) -> messages.RunnerResponseHead:
        """Translate status and headers of a runner's response."""


class PlatformDialect(typing.Protocol):
    """Translates the platform's stored objects and requests to its services.

    The store holds objects; a kind is a class of them, and each object has a
    name.
    """

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
        """Translate the stored object of a roll-out order.

        :param received_at: time of receipt, in seconds since 1970.
        :raises ValueError: when the order is invalid.
        """

    def encode_roll_out_status(
        self,
        order: roll_outs_model.RollOutOrder,
        state: roll_outs_model.RollOutState,
    ) -> store.Json:
        """The status of a roll-out order as the store holds it."""

    def parse_configuration(
        self, spec: store.Json
    ) -> configuration_model.Configuration:
        """Translate the document of the configuration.

        :raises ValueError: when the configuration is invalid.
        """

    def parse_runner(self, stored: store.StoredObject) -> runners.RunnerEntry:
        """Translate a runner's entry in the store.

        :returns: for an invalid entry a :class:`.runners.UnreadableEntry`; no
            error is raised.
        """

    def store_codec(self) -> store.Codec:
        """The codec of requests to the store."""

    def usage_report_request(
        self, window: int, counts: typing.Mapping[str, int]
    ) -> tuple[str, bytes]:
        """Path and body of the request that reports customers' usage.

        :param window: number of the time window that the report covers.
        :param counts: usage by customer.
        """

    def runner_order_request(
        self, service: str, data_centre: str, count: int, reclaimable: bool
    ) -> tuple[str, bytes]:
        """Path and body of the request that sets a service's runner count.

        :param count: the number of runners that the service should have in the
            data centre.
        :param reclaimable: whether to order runners that the cloud may reclaim
            at short notice.
        """

    def lease_holder_headers(
        self, holder: str, fencing: int
    ) -> list[tuple[bytes, bytes]]:
        """Headers that identify the lease holder that sends an order.

        :param holder: the holder's name.
        :param fencing: fencing token of its lease.
        """


class Dialect:
    """The dialects of one platform, which its adapter provides.

    :param callers: translates callers' requests.
    :param upstreams: translates requests to runners.
    :param platform: translates the store's objects and requests to the
        platform's services.
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
    """Register a factory of a dialect under a name; used as a decorator."""

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
