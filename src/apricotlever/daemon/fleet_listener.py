"""The interface through which the daemon is notified of fleet changes."""

from concurrent import futures
import typing

from ..links import peer_pb2 as pb
from ..runners import quarantine
from ..vms import fleet_view as views


class Listener(typing.Protocol):
    """Receives notifications of fleet changes; no method may block."""

    def on_view(self, view: views.FleetView) -> None:
        """Called when the membership has changed.

        :param view: the new membership.
        """

    def on_rumour(self, rumour: pb.Rumour, via: str) -> None:
        """Called once for each rumour that arrives by gossip.

        :param rumour: the rumour.
        :param via: name of the VM that it came from.
        """

    def on_incarnation_ended(self, vm: str, incarnation: int) -> None:
        """Called when a process of an entry VM has certainly ended.

        :param vm: name of the VM.
        :param incarnation: incarnation of the process.
        """

    def on_joined(self, vm: str) -> None:
        """Called when a process of an entry VM has joined.

        :param vm: name of the VM.
        """

    def on_catalogue_advertised(
        self, version: int, digest: int, vm: str
    ) -> None:
        """Called when a peer has a newer catalogue.

        :param version: version of the peer's catalogue.
        :param digest: digest of the peer's catalogue.
        :param vm: name of the peer.
        """

    def on_paused(self, seconds: float) -> None:
        """Called after this process was paused, for example by SIGSTOP.

        :param seconds: duration of the pause.
        """

    def on_superseded(self) -> None:
        """Called when a newer process runs under this VM's name."""

    def decide_trial(
        self, request: quarantine.TrialRequest
    ) -> "futures.Future[quarantine.TrialDecision]":
        """Decide, as the judge of its pool, whether a suspect may run.

        :param request: describes the suspect.
        """

    def on_trial_ended(self, report: quarantine.TrialEnded) -> None:
        """Called when a trial that this VM allowed is over.

        :param report: names the suspect and the request.
        """
