"""Processor time of an entry VM for each relayed event and each request.

One daemon or more, cheap upstreams and cheap readers in processes of their
own. Cases: ``idle``, ``streams`` at each number of streams, ``requests`` of
one token each, ``first_token`` by turns through the daemon and directly,
and ``arrivals``, an open loop at each rate of requests a second.
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
LEAD_S = 1.0
IDLE_S = 4.0
#: How long streams may still run after the time that is measured.
CLOSE_S = 5.0
READY_S = 30.0
US_PER_S = 1e6
#: The users' target for 95 in 100.
FIRST_MS = 1200.0
GAP_MS = 67.0
LEAST_DONE = 0.95
TIMING = {"entries_ttl_s": 1.0, "stop_s": 5.0}
Document = dict[str, typing.Any]


class Rig:
    """Daemons between sources and sinks.

    :param rate: events a second of each stream.
    :param threads: callers that each daemon serves at once.
    :param vms: how many daemons.
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
        """Addresses of the sources."""
        return self._addresses

    @property
    def entries(self) -> list[str]:
        """The daemons' addresses for callers."""
        return self._fleet.entries

    def close(self) -> None:
        """End every process that was started."""
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
    ) -> tuple[_relay_sink.Seen, Document]:
        """Open streams and read them.

        :returns: what was seen, and the daemons' use meanwhile.
        """
        start = time.monotonic() + LEAD_S
        begin = start + settle_s
        end = begin + seconds
        running = [
            self._pool.submit(
                _relay_sink.read,
                _relay_sink.Order(
                    addresses[number:] + addresses[:number],
                    len(range(number, streams, SINKS)),
                    tokens,
                    open_s,
                    start,
                    begin,
                    end,
                    end + open_s + CLOSE_S,
                    BEARER_KEY,
                    number,
                ),
            )
            for number in range(SINKS)
        ]
        use = self._use(begin, end)
        seen = _relay_sink.Seen()
        for each in running:
            found = each.result()
            seen.delays_us += found.delays_us
            seen.gaps_us += found.gaps_us
            seen.first_us += found.first_us
            seen.events += found.events
            seen.done += found.done
            seen.faults += found.faults
        return seen, use

    def idle(self) -> Document:
        """The daemons' use without any caller."""
        now = time.monotonic()
        return self._use(now, now + IDLE_S)

    def _use(self, begin: float, end: float) -> Document:
        _sleep_until(begin)
        before_s = sum(each.cpu_s for each in self.daemons)
        _sleep_until(end)
        used_s = sum(each.cpu_s for each in self.daemons) - before_s
        return {
            "seconds": round(end - begin, 3),
            "processor_s": round(used_s, 3),
            "core": round(used_s / (end - begin), 4),
            "rss_bytes": max(each.rss_bytes for each in self.daemons),
        }

    def _start(self) -> None:
        fleet = self._fleet
        fleet.start_platform()
        for number in range(SOURCES):
            self._start_source(number)
        fleet.put_catalogue(_catalogue())
        names = [f"vm-{number}" for number in range(self._vms)]
        fleet.start_daemons(dict.fromkeys(names, "dc-a"))
        fleets.wait_for(self._ready, READY_S)
        warm = [self._pool.submit(time.sleep, 0.3) for _ in range(SINKS)]
        futures.wait(warm)

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
        port, _ = source.wait_listening(READY_S)
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
        pages = [
            http.call(each, "GET", "/v1/status").payload
            for each in self.entries
        ]
        return all(
            len(page["runners"]) == SOURCES
            and len(page["peers"]) == self._vms
            and page["catalogue_version"]
            for page in pages
        )


def run(arguments: list[str]) -> int:
    """Print one JSON object for each case.

    :returns: 1 if a stream was refused or broke.
    """
    options = _parser().parse_args(arguments)
    rig = Rig(options.rate, options.threads, options.vms)
    faults = 0
    try:
        for row in _cases(rig, options):
            faults += row.get("faults", 0)
            print(json.dumps(row), flush=True)
    finally:
        rig.close()
    return 1 if faults else 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="bench relay", description=__doc__)
    add = parser.add_argument
    add("--streams", default="100,400,800", help="default: %(default)s")
    add("--rate", type=float, default=15.0, help="events/s of a stream")
    add("--seconds", type=float, default=6.0, help="for each case")
    add("--threads", type=int, default=1000, help="of the daemon")
    add("--requests", type=int, default=600, help="of one token")
    add("--first-tokens", type=int, default=150, help="measured each way")
    add("--arrivals", default="", help="requests/s, such as 40,80,120")
    add("--answer", type=int, default=60, help="tokens of each arrival")
    add("--vms", type=int, default=1)
    add("--repeat", type=int, default=1)
    return parser


def _cases(rig: Rig, options: argparse.Namespace) -> typing.Iterator[Document]:
    yield {"case": "idle", **rig.idle()}
    for repeat in range(options.repeat):
        mark = {"repeat": repeat}
        for count in filter(None, options.streams.split(",")):
            yield {**mark, **_streams(rig, int(count), options.seconds)}
        if options.requests:
            yield {**mark, **_requests(rig, options.requests)}
        if options.first_tokens:
            yield {**mark, **_first_tokens(rig, options.first_tokens)}
        for rate in filter(None, options.arrivals.split(",")):
            yield {**mark, **_arrivals(rig, float(rate), options)}


def _streams(rig: Rig, count: int, seconds: float) -> Document:
    """Many streams, all open while the processor time is taken."""
    open_s = max(1.0, count / 80)
    settle_s = open_s + SETTLE_S
    tokens = round(rig.rate * (settle_s + seconds + SETTLE_S))
    seen, use = rig.read(rig.entries, count, tokens, open_s, settle_s, seconds)
    return {
        "case": "streams",
        "streams": count,
        "events": seen.events,
        "events_per_s": round(seen.events / use["seconds"]),
        "processor_us_per_event": round(
            use["processor_s"] * US_PER_S / max(1, seen.events), 1
        ),
        "delay_ms": _milliseconds(seen.delays_us),
        "faults": len(seen.faults),
        "fault": seen.faults[:1],
        **use,
    }


def _requests(rig: Rig, count: int) -> Document:
    """Requests of one token, spread over a time."""
    open_s = count / 100
    seen, use = rig.read(rig.entries, count, 1, open_s, 0.0, open_s + 0.5)
    return {
        "case": "requests",
        "requests": count,
        "done": seen.done,
        "processor_us_per_request": round(
            use["processor_s"] * US_PER_S / count
        ),
        "first_ms": _milliseconds(seen.first_us),
        "faults": len(seen.faults),
        "fault": seen.faults[:1],
        **use,
    }


def _arrivals(rig: Rig, per_s: float, options: argparse.Namespace) -> Document:
    """An open loop: requests come at their times, whatever the delays."""
    settle_s = options.answer / rig.rate + SETTLE_S
    open_s = settle_s + options.seconds
    count = round(per_s * open_s)
    seen, use = rig.read(
        rig.entries, count, options.answer, open_s, settle_s, options.seconds
    )
    first = _milliseconds(seen.first_us)
    gaps = _milliseconds(seen.gaps_us)
    in_time = first["p95"] <= FIRST_MS and gaps["p95"] <= GAP_MS
    return {
        "case": "arrivals",
        "per_s": per_s,
        "vms": len(rig.daemons),
        "requests": count,
        "done": seen.done,
        "events_per_s": round(seen.events / use["seconds"]),
        "first_ms": first,
        "gaps_ms": gaps,
        "delay_ms": _milliseconds(seen.delays_us),
        "target_met": in_time and seen.done >= LEAST_DONE * count,
        "refused_or_broken": len(seen.faults),
        "fault": seen.faults[:1],
        **use,
    }


def _first_tokens(rig: Rig, count: int) -> Document:
    """One request after the other, by turns direct and through the daemon."""
    direct: list[int] = []
    relayed: list[int] = []
    for number in range(count):
        direct += _one(rig.upstreams, number)
        relayed += _one(rig.entries, number)
    near = _milliseconds(direct)
    far = _milliseconds(relayed)
    return {
        "case": "first_token",
        "direct_ms": near,
        "relayed_ms": far,
        "added_ms": {name: round(far[name] - near[name], 3) for name in near},
        "faults": 2 * count - len(direct) - len(relayed),
    }


def _one(addresses: list[str], number: int) -> list[int]:
    now = time.monotonic()
    order = _relay_sink.Order(
        addresses, 1, 1, 0, now, now, now, now + CLOSE_S, BEARER_KEY, number
    )
    return _relay_sink.read(order).first_us


def _milliseconds(values_us: list[int]) -> dict[str, float]:
    return {
        f"p{percent}": round(
            (_demo_report.percentile(values_us, percent) or 0) / 1000, 3
        )
        for percent in (50, 95, 99)
    }


def _sleep_until(at: float) -> None:
    time.sleep(max(0.0, at - time.monotonic()))


def _catalogue() -> Document:
    """One entry without limits that no load of this size exhausts."""
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
