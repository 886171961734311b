"""A stand-in of a model engine that batches continuously.

``python -m standins.engine --port 0``
"""

import argparse
import collections
import itertools
import os
import sys
import threading
import time
import typing

from . import _batch
from . import _cache
from . import _frames
from . import _http
from . import _journal
from . import _orders
from . import _sequence
from . import _server
from . import _tokens

DEFAULT_MAX_TOKENS = 16
READ_WAIT_S = 1.0
FAULTS: dict[str, typing.Any] = {
    "crash_on": "",
    "crash_after_tokens": 0,
    "slow": 1.0,
    "load_lag_s": 0.5,
    "events_lag_s": 0.5,
    "event_gap": 0.0,
    "fencing": True,
    "load_s": 0.0,
    "export_delay_s": 0.0,
    "export_fails": False,
    "import_fails": False,
}


class Engine(_http.StandIn):
    """The HTTP interface of an engine.

    :param journal: counts executions by request.
    :param models: names loaded at the start.
    :param strict: whether a model that is not loaded is refused.
    :param queue_limit: sequences that may wait; 0 for any number.
    """

    def __init__(
        self,
        speed: _batch.Speed | None = None,
        blocks: int = 4096,
        journal: _journal.Journal | None = None,
        models: tuple[str, ...] = (),
        strict: bool = False,
        queue_limit: int = 0,
        faults: dict[str, typing.Any] | None = None,
    ) -> None:
        super().__init__({**FAULTS, **(faults or {})})
        self._cache = _cache.PrefixCache(
            blocks, lambda: self.faults["event_gap"]
        )
        self._batcher = _batch.Batcher(
            speed or _batch.Speed(),
            self._cache,
            lambda: self.faults["slow"],
        )
        self._journal = journal or _journal.Journal()
        self._orders = _orders.Orders([_model(name) for name in models])
        self._strict = strict
        self._queue_limit = queue_limit
        self._seen = set(self._journal.counts)
        self._unnamed = itertools.count(1)
        self._counts: collections.Counter[str] = collections.Counter()
        self._silenced = 0
        self._lock = threading.Lock()
        self._batcher.start()

    def counts(self) -> dict[str, typing.Any]:
        """Executions and recomputed tokens by request, and totals."""
        kinds = ("imports", "exports", "resumes", "resume_mismatches")
        return {
            "executions": self._journal.counts,
            **self._batcher.counts(),
            **{kind: self._counts[kind] for kind in kinds},
        }

    def clear_counts(self) -> None:
        """Forget what was counted; cache and sequences stay."""
        self._journal.clear()
        self._batcher.clear_counts()
        self._counts.clear()

    def close(self) -> None:
        """End the scheduler."""
        self._batcher.close()

    @_http.route("POST", "/v1/completions")
    def _complete(self, request: _http.Request) -> _http.Response:
        return self._generate(request, chat=False)

    @_http.route("POST", "/v1/chat/completions")
    def _chat(self, request: _http.Request) -> _http.Response:
        return self._generate(request, chat=True)

    @_http.route("GET", "/v1/streams/([^/]+)")
    def _resume(self, request: _http.Request, name: str) -> _http.Response:
        sequence = self._batcher.find(name)
        gone = (_sequence.EXPORTED, _sequence.CANCELLED)
        if sequence is None or sequence.state in gone:
            return _http.Response(404, {"error": "not_found"})
        self._count("resumes")
        start = int(request.params.get("from", "0"))
        return self._stream(request, sequence, start)

    @_http.route("DELETE", "/v1/streams/([^/]+)")
    def _cancel(self, request: _http.Request, name: str) -> _http.Response:
        if self._batcher.stop(name, _sequence.CANCELLED) is None:
            return _http.Response(404, {"error": "not_found"})
        return _http.Response(200, {"request": name})

    @_http.route("POST", "/v1/streams/([^/]+)/export")
    def _export(self, request: _http.Request, name: str) -> _http.Response:
        if self.faults["export_fails"]:
            return _http.Response(500, {"error": "export_failed"})
        sequence = self._batcher.stop(name, _sequence.EXPORTED)
        if sequence is None:
            return _http.Response(404, {"error": "not_found"})
        self._count("exports")
        time.sleep(self.faults["export_delay_s"])
        return _http.Response(200, _frames.state_of(sequence))

    @_http.route("POST", "/v1/import")
    def _import(self, request: _http.Request) -> _http.Response:
        if self.faults["import_fails"]:
            return _http.Response(500, {"error": "import_failed"})
        refusal = self._refusal("")
        if refusal is not None:
            return refusal
        state = request.json()
        work = _sequence.Work(**state["work"])
        sequence = _sequence.Sequence(
            work, state["tokens"], state["prefilled"]
        )
        self._crash_on(sequence)
        self._batcher.store([int(block, 16) for block in state["blocks"]])
        self._count("imports")
        self._seen.add(work.request_id)
        self._batcher.submit(sequence)
        return _http.Response(200, {"request": work.request_id})

    @_http.route("GET", "/v1/load")
    def _load(self, request: _http.Request) -> _http.Response:
        load = self._batcher.load(self.faults["load_lag_s"])
        return _http.Response(200, load)

    @_http.route("GET", "/v1/cache/events")
    def _events(self, request: _http.Request) -> _http.Response:
        after = int(request.params.get("after", "0"))
        with self._batcher.lock:
            events = self._cache.events.after(
                after, self.faults["events_lag_s"]
            )
        return _http.Response(200, events)

    @_http.route("POST", "/v1/orders")
    def _order(self, request: _http.Request) -> _http.Response:
        applied = self._orders.apply(
            request.json(), self.faults["fencing"], self.faults["load_s"]
        )
        if not applied:
            return _http.Response(409, {"fencing": self._orders.fencing})
        return _http.Response(200, self._orders.payload())

    @_http.route("GET", "/v1/orders")
    def _show_orders(self, request: _http.Request) -> _http.Response:
        return _http.Response(200, self._orders.payload())

    @_http.route("GET", "/v1/health")
    def _health(self, request: _http.Request) -> _http.Response:
        return _http.Response(
            200, {"models": self._orders.models, "role": self._orders.role}
        )

    @_http.route("POST", "/control/silence")
    def _silence(self, request: _http.Request) -> _http.Response:
        """Make the streams that are open now silent for good."""
        with self._lock:
            self._silenced += 1
        return _http.Response(200, {})

    def _generate(self, request: _http.Request, chat: bool) -> _http.Response:
        body = request.json()
        refusal = self._refusal(body.get("model", ""))
        if refusal is not None:
            return refusal
        sequence = self._accept(request, body, chat)
        if body.get("stream"):
            return self._stream(request, sequence, len(sequence.tokens))
        return self._whole(request, sequence)

    def _refusal(self, model: str) -> _http.Response | None:
        if self._orders.role == "drain":
            return _http.Response(503, {"error": "draining"})
        loaded = {known["model"] for known in self._orders.models}
        if self._strict and model and model not in loaded:
            return _http.Response(404, {"error": "model_not_loaded"})
        if self._queue_limit and self._batcher.waiting >= self._queue_limit:
            return _http.Response(
                503, {"error": "queue_full"}, [("Retry-After", "1")]
            )
        return None

    def _accept(
        self,
        request: _http.Request,
        body: dict[str, typing.Any],
        chat: bool,
    ) -> _sequence.Sequence:
        work = self._work(request, body, chat)
        extra = body.get("apricotlever") or {}
        resumed = extra.get("resume_tokens") or []
        sequence = _sequence.Sequence(work, resumed)
        seen = work.request_id in self._seen
        sequence.seen_before = seen or work.attempt > 1
        self._seen.add(work.request_id)
        if not resumed:
            self._journal.add(work.request_id)
        elif resumed != _tokens.expected_answer(
            work.prompt, work.seed, len(resumed)
        ):
            self._count("resume_mismatches")
        self._crash_on(sequence)
        self._batcher.submit(sequence)
        return sequence

    def _work(
        self,
        request: _http.Request,
        body: dict[str, typing.Any],
        chat: bool,
    ) -> _sequence.Work:
        named = request.header("Apricotlever-Request")
        return _sequence.Work(
            named or f"unnamed-{next(self._unnamed)}",
            int(request.header("Apricotlever-Attempt", "1")),
            int(request.header("Apricotlever-Priority", "0")),
            body.get("model", ""),
            _tokens.prompt_of(body),
            int(body.get("seed") or 0),
            int(body.get("max_tokens") or DEFAULT_MAX_TOKENS),
            chat,
        )

    def _crash_on(self, sequence: _sequence.Sequence) -> None:
        wanted = self.faults["crash_on"]
        if not wanted or wanted not in sequence.work.prompt:
            return
        if not self.faults["crash_after_tokens"]:
            os._exit(_batch.CRASH_CODE)
        sequence.crash_at = self.faults["crash_after_tokens"]

    def _stream(
        self, request: _http.Request, sequence: _sequence.Sequence, start: int
    ) -> _http.Response:
        stream = self._frames(request, sequence, start)
        return _http.Response(
            200, headers=_frames.echo(request, sequence), stream=stream
        )

    def _frames(
        self, request: _http.Request, sequence: _sequence.Sequence, start: int
    ) -> typing.Iterator[bytes]:
        opened = self._silenced
        before, after = _frames.frame_parts(sequence.work)
        index = start
        sequence.attach()
        try:
            while not request.disconnected():
                ended = sequence.ended_as()
                tokens = sequence.wait_beyond(index, READ_WAIT_S)
                self._hold(request, opened)
                if tokens:
                    yield "".join(
                        f"id: {at}\n{before}{token}{after}"
                        for at, token in enumerate(tokens, index)
                    ).encode()
                    index += len(tokens)
                elif ended is not None:
                    yield _frames.last_frame(ended)
                    return
        finally:
            sequence.detach()

    def _hold(self, request: _http.Request, opened: int) -> None:
        self.wait_while_silent(request)
        while self._silenced != opened:
            if request.disconnected():
                _http.drop()
            time.sleep(_http.SILENCE_POLL_S)

    def _whole(
        self, request: _http.Request, sequence: _sequence.Sequence
    ) -> _http.Response:
        opened = self._silenced
        sequence.attach()
        try:
            while sequence.ended_as() is None:
                sequence.wait_beyond(len(sequence.tokens), READ_WAIT_S)
                if request.disconnected():
                    _http.drop()
        finally:
            sequence.detach()
        self._hold(request, opened)
        if sequence.state != _sequence.DONE:
            return _http.Response(409, {"error": sequence.state})
        return _http.Response(
            200, _frames.answer(sequence), _frames.echo(request, sequence)
        )

    def _count(self, kind: str) -> None:
        with self._lock:
            self._counts[kind] += 1


def _model(name: str) -> dict[str, typing.Any]:
    model, _, version = name.partition(":")
    return {"model": model, "version": version, "adapters": []}


def _parser() -> argparse.ArgumentParser:
    parser = _server.parser("model engine stand-in")
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--step-ms", type=float, default=15.0)
    parser.add_argument("--step-ms-per-sequence", type=float, default=0.3)
    parser.add_argument("--prefill-us-per-token", type=float, default=100.0)
    parser.add_argument("--prefill-chunk-tokens", type=int, default=256)
    parser.add_argument("--linger-s", type=float, default=10.0)
    parser.add_argument("--blocks", type=int, default=4096)
    parser.add_argument("--queue-limit", type=int, default=0)
    parser.add_argument("--load-lag-s", type=float, default=0.5)
    parser.add_argument("--events-lag-s", type=float, default=0.5)
    parser.add_argument("--event-gap", type=float, default=0.0)
    parser.add_argument("--fencing", choices=("on", "off"), default="on")
    parser.add_argument("--load-s", type=float, default=0.0)
    parser.add_argument("--models", default="", metavar="NAME:VERSION,...")
    parser.add_argument("--strict-models", action="store_true")
    parser.add_argument("--journal", default="", metavar="FILE")
    return parser


def _speed(options: argparse.Namespace) -> _batch.Speed:
    return _batch.Speed(
        options.slots,
        options.step_ms / 1e3,
        options.step_ms_per_sequence / 1e3,
        options.prefill_us_per_token / 1e6,
        options.prefill_chunk_tokens,
        options.linger_s,
    )


def main(arguments: list[str]) -> int:
    """Serve one engine.

    :param arguments: the command line without the program's name.
    """
    options = _parser().parse_args(arguments)
    engine = Engine(
        _speed(options),
        options.blocks,
        _journal.Journal(options.journal),
        tuple(name for name in options.models.split(",") if name),
        options.strict_models,
        options.queue_limit,
        {
            "load_lag_s": options.load_lag_s,
            "events_lag_s": options.events_lag_s,
            "event_gap": options.event_gap,
            "fencing": options.fencing == "on",
            "load_s": options.load_s,
        },
    )
    return _server.serve(engine, options)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
