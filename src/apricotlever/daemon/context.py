"""What the handlers of requests need, in one place."""

from concurrent import futures
import typing

from .. import clock as clocks
from .. import histograms
from .. import mailbox
from .. import metrics
from .. import refusals
from .. import settings
from ..catalogue import model as catalogues
from ..links import stream_loop
from ..links import upstream_exchange

ANSWER_S = 5.0


class Context:
    """The tasks and shared tools of one daemon.

    :param config: the settings in force.
    :param dispatcher: decides about requests.
    :param registry: keeps running and ended requests.
    :param ledger: keeps idempotency keys.
    :param fleet: speaks to the other entry VMs.
    :param background: runs work that no caller waits for.
    :param streams: reads the answers of model runners.
    :param incarnation: of this process, ms since the Unix epoch.

    ``reporting`` lists the tasks that add to the status page.
    """

    __slots__ = (
        "config",
        "clock",
        "histograms",
        "metrics",
        "dispatcher",
        "registry",
        "ledger",
        "fleet",
        "background",
        "connections",
        "streams",
        "incarnation",
        "reporting",
        "_catalogue",
    )

    def __init__(
        self,
        config: settings.Settings,
        clock: clocks.Clock,
        meters: histograms.Histograms,
        counts: metrics.Metrics,
        dispatcher: mailbox.Task,
        registry: mailbox.Task,
        ledger: mailbox.Task,
        fleet: mailbox.Task,
        background: futures.Executor,
        streams: stream_loop.StreamLoop,
        incarnation: int,
    ) -> None:
        self.config = config
        self.clock = clock
        self.histograms = meters
        self.metrics = counts
        self.dispatcher = dispatcher
        self.registry = registry
        self.ledger = ledger
        self.fleet = fleet
        self.background = background
        self.streams = streams
        self.connections = upstream_exchange.ConnectionPool(clock)
        self.incarnation = incarnation
        self.reporting: list[mailbox.Task] = []
        self._catalogue = catalogues.EMPTY

    @property
    def catalogue(self) -> catalogues.Catalogue:
        """The catalogue in force."""
        return self._catalogue

    def put_in_force(self, catalogue: catalogues.Catalogue) -> None:
        """Take over a catalogue; a version never goes down.

        :param catalogue: a checked catalogue.
        """
        if catalogue.version > self._catalogue.version:
            self._catalogue = catalogue

    def answer_of(
        self, future: "futures.Future[typing.Any]", wait_s: float = ANSWER_S
    ) -> typing.Any:
        """A task's answer, or a refusal when the task has stopped.

        :param future: from :meth:`.mailbox.Task.ask`.
        :param wait_s: the longest wait.
        """
        try:
            return future.result(wait_s)
        except (mailbox.TaskStopped, futures.TimeoutError) as error:
            raise refusals.Refusal(
                refusals.LEAVING,
                "this entry VM is stopping",
                retry_after_s=1.0,
            ) from error
