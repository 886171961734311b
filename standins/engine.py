"""Stand-in for a model engine with continuous batching.

``python -m standins.engine --port 0``
"""

import collections
import itertools
import os
import sys
import threading
import time
import typing

from . import _batch_scheduler
from . import _deterministic_tokens
from . import _engine_options
from . import _engine_responses
from . import _fragility
from . import _http
from . import _journal
from . import _prefix_cache
from . import _sequence
from . import _server
from . import _target_state

DEFAULT_MAX_TOKENS = 16
READER_WAIT_S = 1.0


class Engine(_http.StandIn):
    """The HTTP interface of the engine stand-in.

    :param scheduler_config: step durations and capacity of the scheduler.
    :param blocks: capacity of the prefix cache in blocks.
    :param journal: counts executions by request ID.
    :param models: the models loaded at the start, each as ``NAME:VERSION``.
    :param strict: whether requests for a model that is not loaded are refused.
    :param queue_limit: maximum number of waiting sequences; 0 for no limit.
    :param faults: defaults of faults that differ from the usual ones.
    """

    def __init__(
        self,
        scheduler_config: _batch_scheduler.SchedulerConfig | None = None,
        blocks: int = 4096,
        journal: _journal.Journal | None = None,
        models: tuple[str, ...] = (),
        strict: bool = False,
        queue_limit: int = 0,
        faults: dict[str, typing.Any] | None = None,
    ) -> None:
        super().__init__({**_engine_options.DEFAULT_FAULTS, **(faults or {})})
        self._cache = _prefix_cache.PrefixCache(
            blocks, lambda: self.faults["event_gap"]
        )
        self._scheduler = _batch_scheduler.BatchScheduler(
            scheduler_config or _batch_scheduler.SchedulerConfig(),
            self._cache,
            lambda: self.faults["slow"],
        )
        self._journal = journal or _journal.Journal()
        self._target_state = _target_state.TargetState(
            [_parse_model(name) for name in models]
        )
        self._strict = strict
        self._queue_limit = queue_limit
        self._known_request_ids = set(self._journal.counts)
        self._request_numbers = itertools.count(1)
        self._counts: collections.Counter[str] = collections.Counter()
        self._silence_calls = 0
        self._fragility = _fragility.Fragility(
            lambda: self.faults["fragile_rejections_per_s"]
        )
        self._lock = threading.Lock()
        self._scheduler.start()

    def counts(self) -> dict[str, typing.Any]:
        """Executions and recomputed tokens by request ID, and totals."""
        kinds = ("imports", "exports", "resumes", "resume_mismatches")
        return {
            "executions": self._journal.counts,
            **self._scheduler.counts(),
            **{kind: self._counts[kind] for kind in kinds},
        }

    def clear_counts(self) -> None:
        """Reset the counters; the cache and the sequences stay."""
        self._journal.clear()
        self._scheduler.clear_counts()
        self._counts.clear()

    def before_dispatch(self, request: _http.Request) -> None:
        """Drop the connection while the engine has fallen over."""
        self._fragility.check()

    def close(self) -> None:
        """Stop the scheduler."""
        self._scheduler.close()

    @_http.route("POST", "/v1/completions")
    def _complete(self, request: _http.Request) -> _http.Response:
        return self._handle_completion(request, chat=False)

    @_http.route("POST", "/v1/chat/completions")
    def _chat(self, request: _http.Request) -> _http.Response:
        return self._handle_completion(request, chat=True)

    @_http.route("GET", "/v1/streams/([^/]+)")
    def _resume(
        self, request: _http.Request, request_id: str
    ) -> _http.Response:
        sequence = self._scheduler.find_sequence(request_id)
        unreadable_states = (_sequence.EXPORTED, _sequence.CANCELLED)
        if sequence is None or sequence.state in unreadable_states:
            return _http.Response(404, {"error": "not_found"})
        self._increment("resumes")
        start = int(request.params.get("from", "0"))
        return self._stream_response(request, sequence, start)

    @_http.route("DELETE", "/v1/streams/([^/]+)")
    def _cancel(
        self, request: _http.Request, request_id: str
    ) -> _http.Response:
        if (
            self._scheduler.end_sequence(request_id, _sequence.CANCELLED)
            is None
        ):
            return _http.Response(404, {"error": "not_found"})
        return _http.Response(200, {"request": request_id})

    @_http.route("POST", "/v1/streams/([^/]+)/export")
    def _export(
        self, request: _http.Request, request_id: str
    ) -> _http.Response:
        if self.faults["export_fails"]:
            return _http.Response(500, {"error": "export_failed"})
        sequence = self._scheduler.end_sequence(request_id, _sequence.EXPORTED)
        if sequence is None:
            return _http.Response(404, {"error": "not_found"})
        self._increment("exports")
        time.sleep(self.faults["export_delay_s"])
        return _http.Response(200, _engine_responses.exported_state(sequence))

    @_http.route("POST", "/v1/import")
    def _import(self, request: _http.Request) -> _http.Response:
        if self.faults["import_fails"]:
            return _http.Response(500, {"error": "import_failed"})
        refusal = self._refusal_response("")
        if refusal is not None:
            return refusal
        state = request.json()
        generation = _sequence.GenerationRequest(**state["work"])
        sequence = _sequence.Sequence(
            generation, state["tokens"], state["prefilled"]
        )
        self._apply_crash_fault(sequence)
        self._scheduler.store_blocks(
            [int(block, 16) for block in state["blocks"]]
        )
        self._increment("imports")
        self._known_request_ids.add(generation.request_id)
        self._scheduler.submit(sequence)
        return _http.Response(200, {"request": generation.request_id})

    @_http.route("GET", "/v1/load")
    def _load(self, request: _http.Request) -> _http.Response:
        load = self._scheduler.load(self.faults["load_lag_s"])
        return _http.Response(200, load)

    @_http.route("GET", "/v1/cache/events")
    def _events(self, request: _http.Request) -> _http.Response:
        after = int(request.params.get("after", "0"))
        with self._scheduler.lock:
            events = self._cache.event_log.events_after(
                after, self.faults["events_lag_s"]
            )
        return _http.Response(200, events)

    @_http.route("POST", "/v1/orders")
    def _order(self, request: _http.Request) -> _http.Response:
        applied = self._target_state.apply_order(
            request.json(), self.faults["fencing"], self.faults["load_s"]
        )
        if not applied:
            return _http.Response(409, {"fencing": self._target_state.fencing})
        return _http.Response(200, self._target_state.payload())

    @_http.route("GET", "/v1/orders")
    def _show_orders(self, request: _http.Request) -> _http.Response:
        return _http.Response(200, self._target_state.payload())

    @_http.route("GET", "/v1/health")
    def _health(self, request: _http.Request) -> _http.Response:
        return _http.Response(
            200,
            {
                "models": self._target_state.models,
                "role": self._target_state.role,
            },
        )

    @_http.route("POST", "/control/silence")
    def _silence(self, request: _http.Request) -> _http.Response:
        """Stop the output of all streams that are open now, permanently."""
        with self._lock:
            self._silence_calls += 1
        return _http.Response(200, {})

    def _handle_completion(
        self, request: _http.Request, chat: bool
    ) -> _http.Response:
        body = request.json()
        refusal = self._refusal_response(body.get("model", ""))
        if refusal is not None:
            return refusal
        sequence = self._submit(request, body, chat)
        if body.get("stream"):
            return self._stream_response(
                request, sequence, len(sequence.tokens)
            )
        return self._full_response(request, sequence)

    def _refusal_response(self, model: str) -> _http.Response | None:
        if self._target_state.role == "drain":
            return _http.Response(503, {"error": "draining"})
        loaded = {known["model"] for known in self._target_state.models}
        if self._strict and model and model not in loaded:
            return _http.Response(404, {"error": "model_not_loaded"})
        if (
            self._queue_limit
            and self._scheduler.waiting_count >= self._queue_limit
        ):
            self._fragility.reject()
            return _http.Response(
                503, {"error": "queue_full"}, [("Retry-After", "1")]
            )
        return None

    def _submit(
        self,
        request: _http.Request,
        body: dict[str, typing.Any],
        chat: bool,
    ) -> _sequence.Sequence:
        generation = self._parse_request(request, body, chat)
        extra = body.get("apricotlever") or {}
        resume_tokens = extra.get("resume_tokens") or []
        sequence = _sequence.Sequence(generation, resume_tokens)
        is_known = generation.request_id in self._known_request_ids
        sequence.is_repeat = is_known or generation.attempt > 1
        self._known_request_ids.add(generation.request_id)
        if not resume_tokens:
            self._journal.add(generation.request_id)
        elif resume_tokens != _deterministic_tokens.expected_answer(
            generation.prompt, generation.seed, len(resume_tokens)
        ):
            self._increment("resume_mismatches")
        self._apply_crash_fault(sequence)
        self._scheduler.submit(sequence)
        return sequence

    def _parse_request(
        self,
        request: _http.Request,
        body: dict[str, typing.Any],
        chat: bool,
    ) -> _sequence.GenerationRequest:
        request_id_header = request.header("Apricotlever-Request")
        return _sequence.GenerationRequest(
            request_id_header or f"unnamed-{next(self._request_numbers)}",
            int(request.header("Apricotlever-Attempt", "1")),
            int(request.header("Apricotlever-Priority", "0")),
            body.get("model", ""),
            _deterministic_tokens.prompt_from_body(body),
            int(body.get("seed") or 0),
            int(body.get("max_tokens") or DEFAULT_MAX_TOKENS),
            chat,
        )

    def _apply_crash_fault(self, sequence: _sequence.Sequence) -> None:
        crash_text = self.faults["crash_on"]
        if not crash_text or crash_text not in sequence.request.prompt:
            return
        if not self.faults["crash_after_tokens"]:
            os._exit(_batch_scheduler.CRASH_EXIT_CODE)
        sequence.crash_after_tokens = self.faults["crash_after_tokens"]

    def _stream_response(
        self, request: _http.Request, sequence: _sequence.Sequence, start: int
    ) -> _http.Response:
        stream = self._token_events(request, sequence, start)
        return _http.Response(
            200,
            headers=_engine_responses.request_id_headers(request, sequence),
            stream=stream,
        )

    def _token_events(
        self, request: _http.Request, sequence: _sequence.Sequence, start: int
    ) -> typing.Iterator[bytes]:
        silence_calls_at_start = self._silence_calls
        falls_at_start = self._fragility.falls
        before, after = _engine_responses.token_event_parts(sequence.request)
        index = start
        sequence.add_reader()
        try:
            while not request.disconnected():
                final_state = sequence.final_state()
                tokens = sequence.wait_for_tokens(index, READER_WAIT_S)
                self._wait_if_silenced(request, silence_calls_at_start)
                self._fragility.check(falls_at_start)
                if tokens:
                    yield "".join(
                        f"id: {at}\n{before}{token}{after}"
                        for at, token in enumerate(tokens, index)
                    ).encode()
                    index += len(tokens)
                elif final_state is not None:
                    yield _engine_responses.final_event(final_state)
                    return
        finally:
            sequence.remove_reader()

    def _wait_if_silenced(
        self, request: _http.Request, silence_calls_at_start: int
    ) -> None:
        self.wait_while_silent(request)
        while self._silence_calls != silence_calls_at_start:
            if request.disconnected():
                _http.drop_connection()
            time.sleep(_http.SILENCE_POLL_S)

    def _full_response(
        self, request: _http.Request, sequence: _sequence.Sequence
    ) -> _http.Response:
        silence_calls_at_start = self._silence_calls
        falls_at_start = self._fragility.falls
        sequence.add_reader()
        try:
            while sequence.final_state() is None:
                sequence.wait_for_tokens(len(sequence.tokens), READER_WAIT_S)
                self._fragility.check(falls_at_start)
                if request.disconnected():
                    _http.drop_connection()
        finally:
            sequence.remove_reader()
        self._wait_if_silenced(request, silence_calls_at_start)
        if sequence.state != _sequence.DONE:
            return _http.Response(409, {"error": sequence.state})
        return _http.Response(
            200,
            _engine_responses.completion_payload(sequence),
            _engine_responses.request_id_headers(request, sequence),
        )

    def _increment(self, kind: str) -> None:
        with self._lock:
            self._counts[kind] += 1


def _parse_model(name: str) -> dict[str, typing.Any]:
    model, _, version = name.partition(":")
    return {"model": model, "version": version, "adapters": []}


def main(arguments: list[str]) -> int:
    """Serve one engine stand-in until killed.

    :param arguments: the command line without the program name.
    """
    options = _engine_options.argument_parser().parse_args(arguments)
    engine = Engine(
        _engine_options.scheduler_config(options),
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
