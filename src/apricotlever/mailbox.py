"""Tasks: actors that own their state and communicate by typed messages.

A task runs on one thread of a :mod:`concurrent.futures` executor. Other
threads reach it only through :meth:`Task.ask` and :meth:`Task.tell`. Methods
marked with :func:`handles` handle the messages, and the return value of a
handler becomes the result of the future that :meth:`Task.ask` returned.
"""

from concurrent import futures
import queue
import typing

from . import clock as clocks
from . import errors
from . import logs

Handler = typing.Callable[[typing.Any, typing.Any], typing.Any]

DEFAULT_TICK_S = 0.1


class TaskStopped(errors.ApricotleverError):
    """The task stopped before it handled the message."""

    def __init__(self, name: str) -> None:
        super().__init__(f"task {name} has stopped")


class Deferred:
    """What a handler returns if it completes the message's future later.

    The handler gets the future from :meth:`Task.defer`.
    """

    __slots__ = ()


DEFERRED = Deferred()


def handles(message_type: type) -> typing.Callable[[Handler], Handler]:
    """Mark a method of a task as the handler of one type of message.

    :param message_type: the exact class of the messages; instances of its
        subclasses need a handler of their own.
    """

    def mark(method: Handler) -> Handler:
        method.__dict__.setdefault("handled_types", []).append(message_type)
        return method

    return mark


class _Envelope:
    """A message in a task's queue, with the future for its result, if any.

    A message without content ends a wait that found no message in time.
    """

    __slots__ = ("message", "future")

    def __init__(
        self, message: typing.Any, future: "futures.Future[typing.Any] | None"
    ) -> None:
        self.message = message
        self.future = future


class Task:
    """An actor: state that only one thread accesses, with a message queue.

    Subclasses mark handlers with :func:`handles` and may override
    :meth:`started`, :meth:`tick`, :meth:`stopped` and :meth:`failed`.

    :param name: the name of the task in logs and error messages.
    :param clock: the clock that determines when the next tick is due.
    :param tick_s: seconds between two calls of :meth:`tick`.
    """

    _handlers: typing.ClassVar[dict[type, Handler]] = {}

    def __init_subclass__(cls) -> None:
        inherited = dict(cls._handlers)
        inherited.update(
            (message_type, method)
            for method in vars(cls).values()
            for message_type in getattr(method, "handled_types", ())
        )
        cls._handlers = inherited

    def __init__(
        self,
        name: str,
        clock: clocks.Clock,
        tick_s: float = DEFAULT_TICK_S,
    ) -> None:
        self._name = name
        self._clock = clock
        self._tick_s = tick_s
        self._inbox: queue.SimpleQueue[_Envelope | None] = queue.SimpleQueue()
        self._current: futures.Future[typing.Any] | None = None
        self._stopping = False

    @property
    def name(self) -> str:
        """The name given at construction."""
        return self._name

    def ask(self, message: typing.Any) -> "futures.Future[typing.Any]":
        """Queue a message for the task's handler of its type.

        :returns: a future for the result of the handler. It fails with the
            error that the handler raises, or with :class:`TaskStopped`.
        """
        future: futures.Future[typing.Any] = futures.Future()
        if self._stopping:
            future.set_exception(TaskStopped(self._name))
            return future
        self._inbox.put(_Envelope(message, future))
        return future

    def tell(self, message: typing.Any) -> None:
        """Queue a message without waiting for its result."""
        self._inbox.put(_Envelope(message, None))

    def stop(self) -> None:
        """Stop the task after the messages that are already queued."""
        self._inbox.put(None)

    def run(self) -> None:
        """Handle messages and ticks until stopped, on the calling thread."""
        self.started()
        next_tick = self._clock.now() + self._tick_s
        while True:
            wait_s = max(0.0, next_tick - self._clock.now())
            try:
                envelope = self._inbox.get(timeout=wait_s)
            except queue.Empty:
                envelope = _Envelope(None, None)
            if envelope is None:
                break
            if envelope.message is not None:
                self._handle(envelope)
            if self._clock.now() >= next_tick:
                self._run_tick()
                next_tick = self._clock.now() + self._tick_s
        self._stopping = True
        self._fail_pending()
        self.stopped()

    def started(self) -> None:
        """Hook: runs on the task's thread before the first message."""

    def tick(self) -> None:
        """Hook: runs about every ``tick_s`` seconds, between messages."""

    def stopped(self) -> None:
        """Hook: runs on the task's thread after the last message."""

    def failed(self, error: Exception) -> None:
        """Hook: handles an unexpected error; by default, logs it.

        :param error: the error raised by a tick, or by the handler of a
            message sent with :meth:`tell`.
        """
        logs.event("task_failed", task=self.name, error=repr(error))

    def defer(self) -> "futures.Future[typing.Any]":
        """Get the future that a handler returning ``DEFERRED`` completes.

        Must be called within the handler. For a message sent with
        :meth:`tell`, the result of the future is ignored.
        """
        return self._current or futures.Future()

    def _handle(self, envelope: _Envelope) -> None:
        self._current = envelope.future
        try:
            handler = self._handlers[type(envelope.message)]
            answer = handler(self, envelope.message)
        except Exception as error:
            if envelope.future is None:
                self.failed(error)
            elif not envelope.future.done():
                envelope.future.set_exception(error)
            return
        finally:
            self._current = None
        if envelope.future is not None and answer is not DEFERRED:
            envelope.future.set_result(answer)

    def _run_tick(self) -> None:
        try:
            self.tick()
        except Exception as error:
            self.failed(error)

    def _fail_pending(self) -> None:
        while not self._inbox.empty():
            envelope = self._inbox.get()
            if envelope is not None and envelope.future is not None:
                envelope.future.set_exception(TaskStopped(self._name))
