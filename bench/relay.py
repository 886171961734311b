"""Processor time of an entry VM for each relayed event and each request.

Runs one daemon or more between upstreams that run no model and clients that
only read events, each in a process of its own. Cases: ``idle``, without
requests; ``streams``, at each number of concurrent streams; ``requests``, of
one token each; ``first_token``, with requests by turns to an upstream and
through the daemon; ``arrivals``, an open loop at each rate of requests/s.
"""

import argparse
from concurrent import futures
import hashlib
import json
import multiprocessing
import sys
import time
import typing

from tests.support import fleet as fleets
from tests.support import http
from tests.support import processes

from . import _demo_report
from . import _relay_sink

BEARER_KEY = "key-relay"
SOURCES = 3
SINKS = 3
SETTLE_S = 1.0
START_DELAY_S = 1.0
IDLE_PERIOD_S = 4.0
#: Time that streams have to end after the measured period; streams that are
#: still open then are closed.
CLOSE_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 30.0
US_PER_S = 1e6
#: The users' targets for the 95th percentile.
FIRST_TOKEN_TARGET_MS = 1200.0
TOKEN_GAP_TARGET_MS = 67.0
#: Fraction of the requests that has to be answered in full.
MIN_DONE_FRACTION = 0.95
TIMING = {"entries_ttl_s": 1.0, "stop_s": 5.0}
Document = dict[str, typing.Any]


class Testbed:
    """Daemons, their upstreams (sources) and their clients (sinks).

    :param rate: events per second of each stream.
    :param threads: number of callers that each daemon serves concurrently.
    :param vms: number of daemons.
    """

    def __init__(self, rate: float, threads: int, vms: int = 1) -> None:
        self._vms = vms
        self.rate = rate
        self._fleet = fleets.Fleet(TIMING, {"caller_threads": threads})
        self._sources: list[processes.Process] = []
        self._addresses: list[str] = []
        context = multiprocessing.get_context("spawn")
        self._pool = futures.ProcessPoolExecutor(SINKS, context)
        try:
            self._start()
        except BaseException:
            self.close()
            raise

    @property
    def daemons(self) -> list[processes.Process]:
        """The daemons' processes."""
        return [self._fleet.process(name) for name in self._fleet.daemons]

    @property
    def upstreams(self) -> list[str]:
        """The addresses of the upstreams."""
        return self._addresses

    @property
    def entries(self) -> list[str]:
        """The daemons' addresses for callers."""
        return self._fleet.entry_addresses

    def close(self) -> None:
        """Stop all processes of the testbed."""
        for source in self._sources:
            source.kill()
        self._fleet.close()
        self._pool.shutdown()

    def read(
        self,
        addresses: list[str],
        streams: int,
        tokens: int,
        open_s: float,
        settle_s: float,
        seconds: float,
    ) -> tuple[_relay_sink.Measurements, Document]:
        """Open streams and read them.

        :param streams: number of streams in total.
        :param tokens: length of each stream.
        :param open_s: period over which the streams are opened.
        :param settle_s: time from the first stream to the measured period.
        :param seconds: length of the measured period.
        :returns: the clients' measurements, and the resources that the
            daemons used in the measured period.
        """
        start = time.monotonic() + START_DELAY_S
        begin = start + settle_s
        end = begin + seconds
        pending = [
            self._pool.submit(
                _relay_sink.read,
                _relay_sink.ReadPlan(
                    addresses[number:] + addresses[:number],
                    len(range(number, streams, SINKS)),
                    tokens,
                    open_s,
                    start,
                    begin,
                    end,
                    end + open_s + CLOSE_TIMEOUT_S,
                    BEARER_KEY,
                    number,
                ),
            )
            for number in range(SINKS)
        ]
        usage = self._measure_usage(begin, end)
        total = _relay_sink.Measurements()
        for future in pending:
            part = future.result()
            total.delays_us += part.delays_us
            total.gaps_us += part.gaps_us
            total.first_token_us += part.first_token_us
            total.events += part.events
            total.done += part.done
            total.faults += part.faults
        return total, usage

    def measure_idle(self) -> Document:
        """Measure the resources that the daemons use without callers."""
        now = time.monotonic()
        return self._measure_usage(now, now + IDLE_PERIOD_S)

    def _measure_usage(self, begin: float, end: float) -> Document:
        _sleep_until(begin)
        before_s = sum(daemon.cpu_s for daemon in self.daemons)
        _sleep_until(end)
        used_s = sum(daemon.cpu_s for daemon in self.daemons) - before_s
        return {
            "seconds": round(end - begin, 3),
            "processor_s": round(used_s, 3),
            "core": round(used_s / (end - begin), 4),
            "rss_bytes": max(daemon.rss_bytes for daemon in self.daemons),
        }

    def _start(self) -> None:
        fleet = self._fleet
        fleet.start_platform()
        for number in range(SOURCES):
            self._start_source(number)
        fleet.put_catalogue(_catalogue())
        names = [f"vm-{number}" for number in range(self._vms)]
        fleet.start_daemons(dict.fromkeys(names, "dc-a"))
        fleets.wait_for(self._ready, READY_TIMEOUT_S)
        warm_up = [self._pool.submit(time.sleep, 0.3) for _ in range(SINKS)]
        futures.wait(warm_up)

    def _start_source(self, number: int) -> None:
        name = f"source-{number}"
        module = "bench._relay_source"
        command = [sys.executable, "-m", module, f"--rate={self.rate:g}"]
        command.append(f"--seed={number}")
        source = processes.Process(
            name, command, self._fleet.folder / f"{name}.log"
        )
        source.start()
        self._sources.append(source)
        port, _ = source.wait_listening(READY_TIMEOUT_S)
        address = f"127.0.0.1:{port}"
        self._addresses.append(address)
        vm = {
            "vm": name,
            "address": address,
            "data_centre": "dc-a",
            "role": "runner",
            "pool": "relayed",
            "machine": "small",
            "market": "reclaimable",
        }
        self._fleet.control("cloud", "register", vm)

    def _ready(self) -> bool:
        statuses = [
            http.call(address, "GET", "/v1/status").payload
            for address in self.entries
        ]
        return all(
            len(status["runners"]) == SOURCES
            and len(status["peers"]) == self._vms
            and status["catalogue_version"]
            for status in statuses
        )


def run(arguments: list[str]) -> int:
    """Print one JSON object for each case.

    :returns: 1 if a stream was refused or broke in a case other than
        ``arrivals``, which may exceed the daemons' capacity.
    """
    options = _parser().parse_args(arguments)
    testbed = Testbed(options.rate, options.threads, options.vms)
    faults = 0
    try:
        for row in _cases(testbed, options):
            faults += row.get("faults", 0)
            print(json.dumps(row), flush=True)
    finally:
        testbed.close()
    return 1 if faults else 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="bench relay", description=__doc__)
    add = parser.add_argument
    add("--streams", default="100,400,800", help="default: %(default)s")
    add("--rate", type=float, default=15.0, help="events/s of each stream")
    add(
        "--seconds",
        type=float,
        default=6.0,
        help="measured period of each case",
    )
    add(
        "--threads",
        type=int,
        default=1000,
        help="callers that each daemon serves at once",
    )
    add(
        "--requests",
        type=int,
        default=600,
        help="number of requests of one token",
    )
    add(
        "--first-tokens",
        type=int,
        default=150,
        help="number of requests by each path",
    )
    add("--arrivals", default="", help="requests/s, such as 40,80,120")
    add(
        "--answer",
        type=int,
        default=60,
        help="tokens of each request of arrivals",
    )
    add("--vms", type=int, default=1)
    add("--repeat", type=int, default=1)
    return parser


def _cases(
    testbed: Testbed, options: argparse.Namespace
) -> typing.Iterator[Document]:
    yield {"case": "idle", **testbed.measure_idle()}
    for repeat in range(options.repeat):
        run_fields = {"repeat": repeat}
        for count in filter(None, options.streams.split(",")):
            yield {
                **run_fields,
                **_streams(testbed, int(count), options.seconds),
            }
        if options.requests:
            yield {**run_fields, **_requests(testbed, options.requests)}
        if options.first_tokens:
            yield {
                **run_fields,
                **_first_tokens(testbed, options.first_tokens),
            }
        for rate in filter(None, options.arrivals.split(",")):
            yield {**run_fields, **_arrivals(testbed, float(rate), options)}


def _streams(testbed: Testbed, count: int, seconds: float) -> Document:
    """Measure concurrent streams, all open during the measured period."""
    open_s = max(1.0, count / 80)
    settle_s = open_s + SETTLE_S
    tokens = round(testbed.rate * (settle_s + seconds + SETTLE_S))
    measured, usage = testbed.read(
        testbed.entries, count, tokens, open_s, settle_s, seconds
    )
    return {
        "case": "streams",
        "streams": count,
        "events": measured.events,
        "events_per_s": round(measured.events / usage["seconds"]),
        "processor_us_per_event": round(
            usage["processor_s"] * US_PER_S / max(1, measured.events), 1
        ),
        "delay_ms": _milliseconds(measured.delays_us),
        "faults": len(measured.faults),
        "fault": measured.faults[:1],
        **usage,
    }


def _requests(testbed: Testbed, count: int) -> Document:
    """Measure requests of one token each, sent at random times."""
    open_s = count / 100
    measured, usage = testbed.read(
        testbed.entries, count, 1, open_s, 0.0, open_s + 0.5
    )
    return {
        "case": "requests",
        "requests": count,
        "done": measured.done,
        "processor_us_per_request": round(
            usage["processor_s"] * US_PER_S / count
        ),
        "first_ms": _milliseconds(measured.first_token_us),
        "faults": len(measured.faults),
        "fault": measured.faults[:1],
        **usage,
    }


def _arrivals(
    testbed: Testbed, per_s: float, options: argparse.Namespace
) -> Document:
    """Measure an open loop: requests are sent regardless of responses."""
    settle_s = options.answer / testbed.rate + SETTLE_S
    open_s = settle_s + options.seconds
    count = round(per_s * open_s)
    measured, usage = testbed.read(
        testbed.entries,
        count,
        options.answer,
        open_s,
        settle_s,
        options.seconds,
    )
    first = _milliseconds(measured.first_token_us)
    gaps = _milliseconds(measured.gaps_us)
    in_time = (
        first["p95"] <= FIRST_TOKEN_TARGET_MS
        and gaps["p95"] <= TOKEN_GAP_TARGET_MS
    )
    return {
        "case": "arrivals",
        "per_s": per_s,
        "vms": len(testbed.daemons),
        "requests": count,
        "done": measured.done,
        "events_per_s": round(measured.events / usage["seconds"]),
        "first_ms": first,
        "gaps_ms": gaps,
        "delay_ms": _milliseconds(measured.delays_us),
        "target_met": in_time and measured.done >= MIN_DONE_FRACTION * count,
        "refused_or_broken": len(measured.faults),
        "fault": measured.faults[:1],
        **usage,
    }


def _first_tokens(testbed: Testbed, count: int) -> Document:
    """Send single requests, by turns to an upstream and to a daemon."""
    direct_us: list[int] = []
    relayed_us: list[int] = []
    for number in range(count):
        direct_us += _first_token_us(testbed.upstreams, number)
        relayed_us += _first_token_us(testbed.entries, number)
    direct_ms = _milliseconds(direct_us)
    relayed_ms = _milliseconds(relayed_us)
    return {
        "case": "first_token",
        "direct_ms": direct_ms,
        "relayed_ms": relayed_ms,
        "added_ms": {
            name: round(relayed_ms[name] - direct_ms[name], 3)
            for name in direct_ms
        },
        "faults": 2 * count - len(direct_us) - len(relayed_us),
    }


def _first_token_us(addresses: list[str], number: int) -> list[int]:
    now = time.monotonic()
    plan = _relay_sink.ReadPlan(
        addresses,
        1,
        1,
        0,
        now,
        now,
        now,
        now + CLOSE_TIMEOUT_S,
        BEARER_KEY,
        number,
    )
    return _relay_sink.read(plan).first_token_us


def _milliseconds(values_us: list[int]) -> dict[str, float]:
    return {
        f"p{percent}": round(
            (_demo_report.percentile(values_us, percent) or 0) / 1000, 3
        )
        for percent in (50, 95, 99)
    }


def _sleep_until(deadline: float) -> None:
    time.sleep(max(0.0, deadline - time.monotonic()))


def _catalogue() -> Document:
    """One entry without limits whose capacity exceeds the load."""
    digest = hashlib.sha256(BEARER_KEY.encode()).hexdigest()
    return {
        "customers": {"bench": {"key_sha256": digest, "weight": 1.0}},
        "classes": {
            "relayed": {
                "first_token_s": 1.2,
                "between_tokens_s": 0.067,
                "deadline_s": 600,
                "queue_s": 5.0,
                "shed_order": 0,
                "priority": 5,
            }
        },
        "entries": {
            "relayed": {
                "owner": "bench",
                "kind": "model",
                "class": "relayed",
                "model": "m",
                "version": "1",
                "upstreams": {"pool": "relayed"},
                "capacity": {
                    "min_runners": 1,
                    "max_runners": 16,
                    "slots_per_runner": 1024,
                    "machine": "small",
                },
            }
        },
    }


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
