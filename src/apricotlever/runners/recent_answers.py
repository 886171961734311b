"""The complete answers of the last seconds, in case their calls are suspected.

The news of a crash reaches a VM after the crash. An answer that ended in the
meantime clears its call, but the VM didn't know then that it mattered.
"""

import collections
import typing

from .. import clock as clocks
from . import call_features

#: How long an answer is kept, in seconds: as long as the records of peers
#: repeat a crash.
ANSWER_KEPT_S = 3.0
#: The greatest number of answers that are kept, and the greatest total size
#: of their calls' bodies in bytes. The fingerprints of all of them are
#: computed on the event loop when a crash is reported, in some milliseconds.
MAX_ANSWERS = 1024
MAX_BODY_BYTES = 1_000_000


#: Computes the features of a call.
MakeFeatures = typing.Callable[[], call_features.CallFeatures]


class _Answer:
    """A complete answer; its features are computed when they are needed."""

    __slots__ = ("at", "size", "_make_features", "_features")

    def __init__(
        self, at: float, size: int, make_features: MakeFeatures
    ) -> None:
        self.at = at
        self.size = size
        self._make_features = make_features
        self._features: call_features.CallFeatures | None = None

    @property
    def features(self) -> call_features.CallFeatures:
        """The features of the answered call."""
        if self._features is None:
            self._features = self._make_features()
        return self._features


class RecentAnswers:
    """Keeps answers within limits of age, number and size."""

    __slots__ = ("_answers", "_bytes", "_clock")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._answers: collections.deque[_Answer] = collections.deque()
        self._bytes = 0

    def add(
        self, make_features: MakeFeatures, size: int, age_s: float = 0.0
    ) -> None:
        """Keep an answer.

        :param make_features: computes the features of its call.
        :param size: the size of the call's body in bytes.
        :param age_s: seconds since it ended.
        """
        at = self._clock.now() - age_s
        self._answers.append(_Answer(at, size, make_features))
        self._bytes += size
        self._drop_excess()

    def latest_ages(self) -> dict[str, float]:
        """The seconds since the latest answer to each feature of a call."""
        self._drop_excess()
        now = self._clock.now()
        return {
            name: now - each.at
            for each in self._answers
            for name in each.features.names
        }

    def _drop_excess(self) -> None:
        oldest = self._clock.now() - ANSWER_KEPT_S
        while self._answers and (
            self._answers[0].at < oldest
            or len(self._answers) > MAX_ANSWERS
            or self._bytes > MAX_BODY_BYTES
        ):
            self._bytes -= self._answers.popleft().size
