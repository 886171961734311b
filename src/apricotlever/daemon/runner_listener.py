"""What a RunnerMonitor reports of the platform and the runners."""

import typing

from ..links import platform
from ..runners import model as runners


class Listener(typing.Protocol):
    """Receives what a RunnerMonitor reads; its methods must not block."""

    def on_runners(
        self,
        chosen: tuple[runners.Runner, ...],
        listed: tuple[runners.Runner, ...],
    ) -> None:
        """Handle the platform's list of runners.

        :param chosen: the runners to which this VM may send requests.
        :param listed: all listed runners.
        """

    def on_vms_and_prices(
        self,
        vms: tuple[platform.Vm, ...],
        per_hour: typing.Mapping[tuple[str, str, str], float],
    ) -> None:
        """Handle the platform's list of VMs and its prices.

        :param vms: the listed VMs.
        :param per_hour: price per hour by data centre, machine type and
            market.
        """

    def on_listed_leaving(self, vm: str, left_s: float) -> None:
        """Handle a runner that the platform lists as leaving.

        :param vm: name of the runner's VM.
        :param left_s: seconds that the runner is assumed to have left.
        """

    def on_notice(self, vm: str, left_s: float) -> None:
        """Handle a termination notice.

        :param vm: name of the VM, which may be this one.
        :param left_s: seconds until the VM ends.
        """

    def on_load(
        self,
        runner: str,
        report: runners.LoadReport | None,
        report_to_peers: bool,
    ) -> None:
        """Handle a runner's load.

        :param runner: name of the runner.
        :param report: the load, or None when the runner did not answer.
        :param report_to_peers: whether this VM reports the load to its peers.
        """

    def on_connection_refused(self, runner: str) -> None:
        """Handle a runner that refuses connections.

        :param runner: name of the runner.
        """

    def on_cache_events(
        self, runner: str, events: runners.CacheEvents, report_to_peers: bool
    ) -> None:
        """Handle a runner's cache events.

        :param runner: name of the runner.
        :param events: the events.
        :param report_to_peers: whether this VM reports the events to its
            peers.
        """
