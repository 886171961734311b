"""Exchanges with the other VMs what the parts of the request path count.

Each VM sends the counts of its own calls as shared samples, by topic
(:mod:`..vms.shared_samples`); this module knows which part has which of them.
"""

from ..vms import shared_samples

from . import configuration_model
from . import runner_sizing
from . import upstreams


class SampleExchange:
    """Passes samples between the parts of the request path and the fleet.

    :param buffer: the samples that are sent to the other VMs.
    :param upstreams_: counts how fast the runners are, and the customers'
        calls.
    :param sizing: counts the sizes of prompts.
    """

    __slots__ = ("_buffer", "_sizing", "_upstreams")

    def __init__(
        self,
        buffer: shared_samples.SampleBuffer,
        upstreams_: upstreams.Upstreams,
        sizing: runner_sizing.RunnerSizing,
    ) -> None:
        self._buffer = buffer
        self._upstreams = upstreams_
        self._sizing = sizing
        upstreams_.priorities.send_samples(buffer)

    def merge(
        self,
        samples: shared_samples.Samples,
        configuration: configuration_model.Configuration | None,
    ) -> None:
        """Add the counts of other VMs to those of this VM.

        :param samples: counts by topic and key; topics that no part handles
            are ignored.
        """
        self._upstreams.performance.merge(samples)
        self._sizing.merge_samples(samples, configuration)
        self._upstreams.priorities.merge_samples(samples)

    def send(
        self, configuration: configuration_model.Configuration | None
    ) -> None:
        """Add what was counted since the last call to the samples to be sent.

        The customers' calls are added as they are counted.
        """
        self._buffer.merge(
            self._upstreams.performance.performance.take_samples()
        )
        self._sizing.send_samples(self._buffer, configuration)
