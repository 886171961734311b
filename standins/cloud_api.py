"""Stand-in for the cloud API: VMs, prices and reclaim notices.

The stand-in only keeps records. The test or benchmark that starts the
processes of the VMs must end them at the deadline of a notice.

``python -m standins.cloud_api --port 0``
"""

import collections
import itertools
import sys
import time
import typing

from . import _http
from . import _long_polls
from . import _server

DEFAULT_FAULTS: dict[str, typing.Any] = {
    "lag_s": 0.5,
    "start_s": 1.0,
    "no_capacity": False,
    "notices_lag_s": 0.0,
}
STARTING = "starting"
LIVE = "live"
LEAVING = "leaving"
VM_FIELDS = ("role", "pool", "machine", "market", "address", "data_centre")


class _Vm:
    """A VM with the history of its state."""

    __slots__ = ("fields", "_transitions")

    def __init__(self, fields: dict[str, typing.Any]) -> None:
        self.fields = fields
        self._transitions: list[tuple[float, str | None]] = []

    def set_state(self, at: float, state: str | None) -> None:
        """Set the state from a time on, which may be in the future.

        :param at: time on the monotonic clock, in seconds; transitions from
            this time on are replaced.
        :param state: the state; None for a VM that no longer exists.
        """
        self._transitions = [
            transition
            for transition in self._transitions
            if transition[0] < at
        ]
        self._transitions.append((at, state))

    def state_at(self, at: float) -> str | None:
        """The state at a time; None if the VM does not exist then."""
        past = [state for since, state in self._transitions if since <= at]
        return past[-1] if past else None

    def payload(self, at: float) -> dict[str, typing.Any]:
        """The VM in the format of the VM list."""
        return {**self.fields, "state": self.state_at(at)}


class _Notice:
    """Announces that the cloud reclaims a VM at a deadline."""

    __slots__ = ("seq", "vm", "at", "deadline")

    def __init__(self, seq: int, vm: str, at: float, deadline: float) -> None:
        self.seq = seq
        self.vm = vm
        self.at = at
        self.deadline = deadline

    def payload(self, now: float) -> dict[str, typing.Any]:
        """The notice with the seconds that remain until its deadline."""
        return {
            "seq": self.seq,
            "vm": self.vm,
            "deadline_s": max(0.0, self.deadline - now),
        }


class CloudApi(_http.StandIn):
    """Keeps records of VMs, prices and reclaim notices."""

    def __init__(self) -> None:
        super().__init__(DEFAULT_FAULTS)
        self._long_polls = _long_polls.LongPolls()
        self._lock = self._long_polls.condition
        self._vms: dict[str, _Vm] = {}
        self._vm_by_token: dict[str, str] = {}
        self._spares: list[dict[str, typing.Any]] = []
        self._has_spares = False
        self._prices: dict[tuple[str, str, str], float] = {}
        self._notices: list[_Notice] = []
        self._vm_numbers = itertools.count(1)
        self._counts: collections.Counter[str] = collections.Counter()

    def counts(self) -> dict[str, typing.Any]:
        """Calls by kind, and the number of waiting long polls."""
        waiting = self._long_polls.waiting_count
        return {**self._counts, "notices_waiting": waiting}

    def clear_counts(self) -> None:
        """Reset the counters; the VMs stay."""
        self._counts.clear()

    @_http.route("GET", "/v1/vms")
    def _list(self, request: _http.Request) -> _http.Response:
        at = time.monotonic() - self.faults["lag_s"]
        with self._lock:
            self._counts["vms"] += 1
            vms = [
                vm.payload(at)
                for vm in self._vms.values()
                if vm.state_at(at) is not None
            ]
        return _http.Response(200, {"vms": vms})

    @_http.route("POST", "/v1/vms")
    def _buy(self, request: _http.Request) -> _http.Response:
        order = request.json()
        with self._lock:
            self._counts["buy"] += 1
            known_vm = self._vm_by_token.get(order.get("token", ""))
            if known_vm is not None:
                return self._purchase_response(known_vm)
            spare = self._take_spare(order)
            if spare is None:
                self._counts["refused"] += 1
                return _http.Response(409, {"error": "no_capacity"})
            name = spare.get("vm") or f"vm-{next(self._vm_numbers)}"
            self._add_starting_vm(name, {"role": "runner", **order, **spare})
            self._vm_by_token[order.get("token") or name] = name
            return self._purchase_response(name)

    @_http.route("DELETE", "/v1/vms/([^/]+)")
    def _release(self, request: _http.Request, name: str) -> _http.Response:
        with self._lock:
            self._counts["release"] += 1
            if name not in self._vms:
                return _http.Response(404, {"error": "not_found"})
            self._vms[name].set_state(time.monotonic(), None)
        return _http.Response(200, {"vm": name})

    @_http.route("GET", "/v1/prices")
    def _show_prices(self, request: _http.Request) -> _http.Response:
        with self._lock:
            self._counts["prices"] += 1
            prices = [
                {
                    "data_centre": data_centre,
                    "machine": machine,
                    "market": market,
                    "per_hour": per_hour,
                }
                for (data_centre, machine, market), per_hour in sorted(
                    self._prices.items()
                )
            ]
        return _http.Response(200, {"prices": prices})

    @_http.route("GET", "/v1/notices")
    def _poll_notices(self, request: _http.Request) -> _http.Response:
        after = int(request.params.get("after", "0"))
        timeout_s = float(request.params.get("timeout_s", "0"))
        with self._lock:
            self._counts["notices"] += 1
        self._long_polls.wait_until(
            request, lambda: self._published_notices(after), timeout_s
        )
        with self._lock:
            now = time.monotonic()
            found = self._published_notices(after)
        notices = [notice.payload(now) for notice in found]
        seq = found[-1].seq if found else after
        return _http.Response(200, {"notices": notices, "seq": seq})

    @_http.route("POST", "/control/register")
    def _register(self, request: _http.Request) -> _http.Response:
        fields = request.json()
        fields.setdefault("state", LIVE)
        with self._lock:
            state = fields.pop("state")
            vm = _Vm({**dict.fromkeys(VM_FIELDS, ""), **fields})
            vm.set_state(time.monotonic(), state)
            self._vms[fields["vm"]] = vm
        return _http.Response(200, {"vm": fields["vm"]})

    @_http.route("POST", "/control/spares")
    def _add_spares(self, request: _http.Request) -> _http.Response:
        """Add spares; a purchase gets the first spare that matches it."""
        with self._lock:
            self._spares += request.json()["spares"]
            self._has_spares = True
        return _http.Response(200, {"spares": len(self._spares)})

    @_http.route("POST", "/control/reclaim")
    def _reclaim(self, request: _http.Request) -> _http.Response:
        order = request.json()
        now = time.monotonic()
        deadline = now + float(order["notice_s"])
        with self._lock:
            for name in order["vms"]:
                self._vms[name].set_state(now, LEAVING)
                self._vms[name].set_state(deadline, None)
                seq = len(self._notices) + 1
                self._notices.append(_Notice(seq, name, now, deadline))
            self._lock.notify_all()
        return _http.Response(200, {"seq": len(self._notices)})

    @_http.route("POST", "/control/gone")
    def _remove_vms(self, request: _http.Request) -> _http.Response:
        """Remove VMs without a notice, as if they had failed."""
        with self._lock:
            for name in request.json()["vms"]:
                self._vms[name].set_state(time.monotonic(), None)
        return _http.Response(200, {})

    @_http.route("POST", "/control/prices")
    def _set_prices(self, request: _http.Request) -> _http.Response:
        with self._lock:
            self._prices.update(
                (
                    (price["data_centre"], price["machine"], price["market"]),
                    float(price["per_hour"]),
                )
                for price in request.json()["prices"]
            )
        return _http.Response(200, {"prices": len(self._prices)})

    def _published_notices(self, after: int) -> list[_Notice]:
        until = time.monotonic() - self.faults["notices_lag_s"]
        return [
            notice for notice in self._notices[after:] if notice.at <= until
        ]

    def _purchase_response(self, name: str) -> _http.Response:
        return _http.Response(201, self._vms[name].payload(time.monotonic()))

    def _add_starting_vm(
        self, name: str, order: dict[str, typing.Any]
    ) -> None:
        now = time.monotonic()
        fields = {field: order.get(field, "") for field in VM_FIELDS}
        vm = _Vm({"vm": name, **fields})
        vm.set_state(now, STARTING)
        vm.set_state(now + self.faults["start_s"], LIVE)
        self._vms[name] = vm

    def _take_spare(
        self, order: dict[str, typing.Any]
    ) -> dict[str, typing.Any] | None:
        """Take the spare for an order; None if the order is refused.

        If no spares were ever added, each order gets a VM without an address.
        """
        refused = self.faults["no_capacity"]
        if refused is True or order["data_centre"] in (refused or ()):
            return None
        if not self._has_spares:
            return {}
        matching = (
            spare
            for spare in self._spares
            if all(
                spare.get(field, order.get(field)) == order.get(field)
                for field in ("pool", "data_centre", "machine", "market")
            )
        )
        spare = next(matching, None)
        if spare is not None:
            self._spares.remove(spare)
        return spare


def main(arguments: list[str]) -> int:
    """Serve a cloud without VMs until killed.

    :param arguments: the command line without the program name.
    """
    parser = _server.argument_parser("cloud API stand-in")
    return _server.serve(CloudApi(), parser.parse_args(arguments))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
