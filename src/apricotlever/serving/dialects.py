"""What is spoken at the edges, as interfaces with registries.

A dialect translates between what stands on the wire and the types of
:mod:`.messages` and :mod:`.routes`. It decides nothing and keeps no state.
"""

import typing

from ..roll_outs import model as roll_outs_model

from . import messages
from . import routes
from . import runners
from . import store

_Class = typing.TypeVar("_Class", bound=type)


class DialectUnknown(Exception):
    """No dialect is registered under a name."""

    def __init__(self, kind: str, name: str) -> None:
        super().__init__(f"no {kind} dialect is called {name!r}")


class CallerDialect(typing.Protocol):
    """How callers speak.

    :meth:`read` raises ``ValueError`` for headers of bad form.
    """

    def read(
        self,
        method: str,
        target: str,
        headers: messages.Headers,
        body: bytes,
        received_at: float,
    ) -> messages.CallerCall:
        """Translate a call."""

    @property
    def ready_path(self) -> str:
        """Where the platform asks whether this VM is ready."""

    @property
    def lookup_path(self) -> str:
        """Where callers ask which VMs to use."""

    def lookup_answer(
        self, addresses: typing.Sequence[str], ttl_s: float
    ) -> bytes:
        """The VMs that callers should use."""

    def refusal_headers(
        self, call: messages.CallerCall | None
    ) -> list[tuple[bytes, bytes]]:
        """Headers of an answer that this VM makes itself."""

    def answer_headers(
        self, head: messages.RunnerHead
    ) -> list[tuple[bytes, bytes]]:
        """Headers of a runner's answer that the caller gets."""


class RunnerDialect(typing.Protocol):
    """How runners are spoken to."""

    def request(
        self, call: messages.CallerCall, errand: messages.Errand
    ) -> bytes:
        """A whole request for a runner."""

    def head(
        self, status: int, headers: messages.Headers
    ) -> messages.RunnerHead:
        """Translate the head of an answer."""


class PlatformDialect(typing.Protocol):
    """What lies in the platform's store, and how its calls look."""

    @property
    def configuration_kind(self) -> str:
        """The kind of the configuration's object."""

    @property
    def configuration_name(self) -> str:
        """The name of the configuration's object."""

    @property
    def runners_kind(self) -> str:
        """The kind of the runners' entries."""

    @property
    def roll_outs_kind(self) -> str:
        """The kind of the roll-out orders; each is named after its service."""

    def roll_out(
        self, stored: store.StoredObject, heard_at: float
    ) -> roll_outs_model.RollOutOrder:
        """Translate a roll-out order; ``ValueError`` if it is invalid.

        :param heard_at: time of receipt, in seconds since 1970.
        """

    def roll_out_status(
        self,
        order: roll_outs_model.RollOutOrder,
        state: roll_outs_model.RollOutState,
    ) -> store.Json:
        """The status of an order in a state."""

    def configuration(self, spec: store.Json) -> routes.Configuration:
        """Translate a configuration; ``ValueError`` if it is invalid."""

    def runner(self, stored: store.StoredObject) -> runners.Entry:
        """Translate a runner's entry; never raises, whatever stands there."""

    def store_codec(self) -> store.Codec:
        """How calls to the store look."""

    def report_call(
        self, window: int, counts: typing.Mapping[str, int]
    ) -> tuple[str, bytes]:
        """Path and body of a usage report."""

    def order_call(
        self, service: str, data_centre: str, count: int, reclaimable: bool
    ) -> tuple[str, bytes]:
        """Path and body of an order for a number of runners."""

    def duty_headers(
        self, holder: str, fencing: int
    ) -> list[tuple[bytes, bytes]]:
        """Headers that prove who gives an order."""


class Dialect:
    """Everything that one platform's adapter provides.

    :param callers: how callers speak.
    :param upstreams: how runners speak.
    :param platform: what lies in the store.
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


def register(
    name: str,
) -> typing.Callable[
    [typing.Callable[[], Dialect]], typing.Callable[[], Dialect]
]:
    """Register a function that makes a dialect, under a name."""

    def decorate(
        make: typing.Callable[[], Dialect],
    ) -> typing.Callable[[], Dialect]:
        _DIALECTS[name] = make
        return make

    return decorate


def dialect(name: str) -> Dialect:
    """Make the dialect of a name.

    :raises DialectUnknown: when nothing registered under it.
    """
    if name not in _DIALECTS:
        raise DialectUnknown("platform", name)
    return _DIALECTS[name]()
