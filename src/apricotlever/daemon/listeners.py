"""What a daemon does when its fleet changes."""

from concurrent import futures
import typing

from ..links import peer_pb2 as pb
from ..runners import quarantine
from ..vms import fleet_view as views


class Listener(typing.Protocol):
    """What the daemon does when the fleet changes; must return at once."""

    def on_view(self, view: views.FleetView) -> None:
        """The members changed."""

    def on_rumour(self, rumour: pb.Rumour, via: str) -> None:
        """A rumour came, once."""

    def on_incarnation_ended(self, vm: str, incarnation: int) -> None:
        """A process of an entry VM is gone for certain."""

    def on_joined(self, vm: str) -> None:
        """A process of an entry VM has joined."""

    def on_catalogue_heard(self, version: int, digest: int, vm: str) -> None:
        """A peer has a newer catalogue."""

    def on_paused(self, seconds: float) -> None:
        """This process stood still."""

    def on_superseded(self) -> None:
        """A newer process runs under this VM's name."""

    def judge(
        self, question: quarantine.TrialRequest
    ) -> "futures.Future[quarantine.TrialDecision]":
        """Decide on a suspect as the judge of its pool."""

    def trial_over(self, report: quarantine.TrialEnded) -> None:
        """A trial that this VM handed out is over."""
