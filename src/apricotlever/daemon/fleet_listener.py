"""The interface by which FleetLink notifies the daemon of fleet changes."""

from concurrent import futures
import typing

from ..links import peer_pb2 as pb
from ..runners import quarantine
from ..vms import fleet_view as views


class Listener(typing.Protocol):
    """Receives notifications of fleet changes; no method may block."""

    def on_view(self, view: views.FleetView) -> None:
        """Called when a member has joined, left or changed its state.

        :param view: the new snapshot of the fleet.
        """

    def on_rumour(self, rumour: pb.Rumour, via: str) -> None:
        """Called once for each rumour that arrives by gossip.

        :param rumour: the rumour.
        :param via: name of the VM that it came from.
        """

    def on_incarnation_ended(self, vm: str, incarnation: int) -> None:
        """Called when a process of an entry VM has certainly ended.

        :param vm: name of the VM.
        :param incarnation: start time of the process, which tells it from
            other processes of the same VM.
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
        """Decide, as the judge of a pool, whether a suspect request may run.

        :param request: describes the suspect.
        """

    def on_trial_ended(self, report: quarantine.TrialEnded) -> None:
        """Called when a trial that this VM granted as a judge is over.

        :param report: the fingerprint of the suspect and the ID of the
            request that ran.
        """
