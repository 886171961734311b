"""Who knows where a stream began: ways to keep records, compared.

``python -m bench stream_records`` draws streams that begin at one VM of fleets
of 7, 70, 195 and 3,500 and are resumed at another, with each way and event
between, and prints one JSON line for each: the share of resumptions at which
nobody knows the origin, the messages and bytes for a new stream and for a
resumption. The ways: records at one or two VMs by hash, asking all VMs, and
ids within the status records of all VMs. Each line of the way ``two_copies``
also has the time of a look-up and of the change when a VM comes, by this
machine's clock.
"""

import argparse
import json
import random
import time
import typing

from apricotlever.runners import model as models
from apricotlever.serving import stream_origin_protocol as protocols
from apricotlever.streams import keeper_ring
from apricotlever.streams import origin_table
import msgpack

FLEETS = ((7, 3), (70, 4), (195, 5), (3500, 6))
#: What happens between the first event and the resumption.
EVENTS = (
    "vm_killed",
    "vm_killed_unnoticed",
    "half_killed",
    "data_centre_killed",
    "vm_joined",
    "cut_in_half",
)
STREAMS = 2000
#: Bytes of the headers of a UDP datagram.
HEADER_BYTES = 28
#: Time between two status records of a VM, in seconds, and the time after the
#: first event within which the VM is killed.
RECORD_INTERVAL_S = 0.2
KILLED_WITHIN_S = 0.05
LOOKUPS = 5000


class Fleet:
    """The VMs of a fleet, and an event that happens to them.

    :param event: one of :data:`EVENTS`.
    """

    def __init__(
        self,
        count: int,
        data_centres: int,
        event: str,
        rng: random.Random,
    ) -> None:
        self.data_centres = {
            f"vm-{n}": f"dc-{n % data_centres}" for n in range(count)
        }
        self._event = event
        self._rng = rng
        self._before = keeper_ring.KeeperRing()
        self._before.set_vms(self.data_centres)

    def resume(self, way: "Way", number: int) -> bool:
        """Begin a stream, let the event happen, and resume it.

        :returns: whether the VM at which it is resumed finds its origin.
        """
        names = list(self.data_centres)
        key = origin_table.stream_key("customer", str(number))
        sender = self._rng.choice(names)
        records = {sender, *way.keepers(self._before, key, sender, self._rng)}
        lost, unreached, view = self._happen(sender, names)
        left = [n for n in names if n not in lost and n not in unreached]
        asker = self._rng.choice([n for n in left if n != sender] or left)
        known = records - lost - unreached
        asked = way.asked(view, key, names) | {asker}
        return bool(known & asked)

    def _happen(
        self, sender: str, names: list[str]
    ) -> tuple[set[str], set[str], keeper_ring.KeeperRing]:
        """Let the event happen.

        :returns: the VMs that are gone, those that the resuming VM doesn't
            reach, and the resuming VM's view of the fleet.
        """
        lost: set[str] = set()
        unreached: set[str] = set()
        if self._event.startswith("vm_killed"):
            lost = {sender}
        elif self._event == "half_killed":
            lost = {sender, *self._rng.sample(names, len(names) // 2)}
        elif self._event == "data_centre_killed":
            gone = self.data_centres[sender]
            lost = {n for n in names if self.data_centres[n] == gone}
        elif self._event == "cut_in_half":
            unreached = {sender, *self._rng.sample(names, len(names) // 2)}
        if self._event in ("half_killed", "vm_killed_unnoticed"):
            # The records are asked for before the VMs are known to be gone.
            return lost, unreached, self._before
        view = {n: d for n, d in self.data_centres.items() if n not in lost}
        if self._event == "vm_joined":
            view["vm-new"] = "dc-0"
        changed = keeper_ring.KeeperRing()
        changed.set_vms(view)
        return lost, unreached, changed


class Way:
    """A way to know the origins of streams.

    :param copies: VMs that get a record by its hash.
    :param asks_all: whether a resuming VM asks all others.
    :param in_news: whether all VMs learn all ids by status records.
    """

    def __init__(
        self, copies: int, asks_all: bool = False, in_news: bool = False
    ) -> None:
        self._copies = copies
        self._asks_all = asks_all
        self._in_news = in_news

    def keepers(
        self,
        ring: keeper_ring.KeeperRing,
        key: bytes,
        sender: str,
        rng: random.Random,
    ) -> list[str]:
        """The VMs that get a record before the sender may end."""
        if self._in_news:
            sent = rng.uniform(0.0, RECORD_INTERVAL_S) < KILLED_WITHIN_S
            return ring.candidates(key) if sent else []
        return ring.keepers(key, sender)[: self._copies]

    def asked(
        self, ring: keeper_ring.KeeperRing, key: bytes, names: list[str]
    ) -> set[str]:
        """The VMs that are asked."""
        if self._asks_all or self._in_news:
            return set(names)
        return set(ring.candidates(key))

    def costs(self, count: int) -> dict[str, float]:
        """Messages and bytes of a new stream and of a resumption."""
        record, question = _message_bytes()
        asked = count - 1 if self._asks_all else min(5, count - 1)
        if self._in_news:
            # An id and its origin's number in the records of one VM, which
            # every other VM gets once.
            return {
                "messages_new": 0,
                "bytes_new": (origin_table.KEY_BYTES + 2) * (count - 1),
                "messages_resumed": 0,
                "bytes_resumed": 0,
            }
        return {
            "messages_new": self._copies,
            "bytes_new": self._copies * record,
            "messages_resumed": 2 * asked,
            "bytes_resumed": asked * question,
        }


WAYS = {
    "one_copy": Way(1),
    "two_copies": Way(2),
    "ask_all": Way(0, asks_all=True),
    "news": Way(0, in_news=True),
}


def _message_bytes() -> tuple[int, int]:
    """Bytes of a record, and of a question with its answer."""
    key = origin_table.stream_key("customer", "9c41d07be2a35f68")
    origin = models.StreamOrigin("huvo11a", "v1.2")
    record = protocols.SentRecord(key, origin, 30.0, 0.0).to_list()
    number = int(1e11)
    names = [origin.service, origin.version]
    messages: tuple[list[typing.Any], ...] = (
        [protocols.ASK, number, key, [origin.service], 30.0],
        [protocols.ANSWER, number, [names, 0.1], [names, names]],
    )
    sizes = [len(msgpack.packb(each)) + HEADER_BYTES for each in messages]
    record_bytes = len(msgpack.packb([protocols.RECORDS, [record]]))
    return record_bytes + HEADER_BYTES, sum(sizes)


def unknown_share(
    count: int, data_centres: int, event: str, way: str, streams: int
) -> float:
    """The share of resumptions at which nobody knows the origin."""
    rng = random.Random(f"{count} {event} {way}")
    fleet = Fleet(count, data_centres, event, rng)
    found = sum(fleet.resume(WAYS[way], n) for n in range(streams))
    return 1.0 - found / streams


def _times(count: int, data_centres: int) -> dict[str, float]:
    """Seconds of a look-up, and of the change when a VM comes."""
    vms = {f"vm-{n}": f"dc-{n % data_centres}" for n in range(count)}
    ring = keeper_ring.KeeperRing()
    ring.set_vms(vms)
    keys = [origin_table.stream_key("c", str(n)) for n in range(LOOKUPS)]
    began = time.perf_counter()
    for key in keys:
        ring.keepers(key, "vm-0")
    lookup_s = (time.perf_counter() - began) / LOOKUPS
    began = time.perf_counter()
    ring.set_vms({**vms, "vm-new": "dc-0"})
    change_s = time.perf_counter() - began
    return {
        "lookup_us": round(1e6 * lookup_s, 1),
        "change_us": round(1e6 * change_s, 1),
    }


def run(arguments: list[str]) -> int:
    """Compare the ways and print the results."""
    parser = argparse.ArgumentParser("stream_records", description=__doc__)
    parser.add_argument("--streams", type=int, default=STREAMS)
    options = parser.parse_args(arguments)
    for count, data_centres in FLEETS:
        # Each stream of a large fleet takes a new view of all its VMs.
        streams = max(50, min(options.streams, 20_000 // count))
        for name, way in WAYS.items():
            shares = {
                event: round(
                    unknown_share(count, data_centres, event, name, streams),
                    3,
                )
                for event in EVENTS
            }
            times = (
                _times(count, data_centres)
                if way is WAYS["two_copies"]
                else {}
            )
            row = {"vms": count, "way": name, "streams": streams}
            print(json.dumps({**row, **shares, **way.costs(count), **times}))
    return 0
