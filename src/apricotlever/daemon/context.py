"""The tasks and shared objects that the handlers of requests use.

A task is an actor on a thread of its own (see :mod:`apricotlever.mailbox`).
"""

from concurrent import futures
import typing

from .. import clock as clocks
from .. import histograms as histograms_
from .. import mailbox
from .. import metrics as metrics_
from .. import refusals
from .. import settings
from ..catalogue import model as catalogues
from ..links import stream_loop
from ..links import upstream_exchange

REPLY_TIMEOUT_S = 5.0


class Context:
    """The tasks and shared objects of one daemon.

    ``connections`` holds idle connections to upstreams for reuse.
    ``status_tasks`` lists the tasks whose state the status page shows.

    :param config: the daemon's settings.
    :param clock: the source of time.
    :param histograms: records latencies.
    :param metrics: receives the metrics.
    :param dispatcher: admits requests and chooses their runners.
    :param registry: keeps running and ended requests.
    :param ledger: keeps idempotency keys.
    :param fleet: communicates with the other entry VMs.
    :param background: runs work that no caller waits for.
    :param streams: reads the answers of model runners.
    :param incarnation: start time of this process, in ms since the Unix
        epoch.
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
        "status_tasks",
        "_catalogue",
    )

    def __init__(
        self,
        config: settings.Settings,
        clock: clocks.Clock,
        histograms: histograms_.Histograms,
        metrics: metrics_.Metrics,
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
        self.histograms = histograms
        self.metrics = metrics
        self.dispatcher = dispatcher
        self.registry = registry
        self.ledger = ledger
        self.fleet = fleet
        self.background = background
        self.streams = streams
        self.connections = upstream_exchange.ConnectionPool(clock)
        self.incarnation = incarnation
        self.status_tasks: list[mailbox.Task] = []
        self._catalogue = catalogues.EMPTY

    @property
    def catalogue(self) -> catalogues.Catalogue:
        """The catalogue in force."""
        return self._catalogue

    def set_catalogue(self, catalogue: catalogues.Catalogue) -> None:
        """Replace the catalogue in force unless the new one is older.

        :param catalogue: a validated catalogue.
        """
        if catalogue.version > self._catalogue.version:
            self._catalogue = catalogue

    def wait_for_reply(
        self,
        future: "futures.Future[typing.Any]",
        wait_s: float = REPLY_TIMEOUT_S,
    ) -> typing.Any:
        """Wait for a task's reply.

        :param future: returned by :meth:`.mailbox.Task.ask`.
        :param wait_s: the longest time to wait.
        :raises Refusal: when the task has stopped or does not reply in time.
        """
        try:
            return future.result(wait_s)
        except (mailbox.TaskStopped, futures.TimeoutError) as error:
            raise refusals.Refusal(
                refusals.LEAVING,
                "this entry VM is stopping",
                retry_after_s=1.0,
            ) from error
