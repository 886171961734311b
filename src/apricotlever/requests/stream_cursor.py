"""Merges the tokens of a request's successive attempts into one stream.

A request that is moved to another runner starts a new attempt there. The
caller still has to receive each token exactly once and in order.
"""

ACCEPTED = 1
STALE = 0
GAP = -1


class StreamCursor:
    """The index of the next token to send, and the attempt that supplies it.

    The connection of an abandoned attempt can still deliver tokens that were
    in transit. Sending them would repeat tokens, so only tokens of the current
    attempt are accepted.

    :param attempt: number of the current attempt.
    :param next_index: index of the next token to send to the caller.
    """

    __slots__ = ("_attempt", "_next", "_stale", "_gaps")

    def __init__(self, attempt: int = 1, next_index: int = 0) -> None:
        self._attempt = attempt
        self._next = next_index
        self._stale = 0
        self._gaps = 0

    @property
    def attempt(self) -> int:
        """The number of the attempt whose tokens are accepted."""
        return self._attempt

    @property
    def next_index(self) -> int:
        """The index of the next token to send to the caller."""
        return self._next

    @property
    def stale(self) -> int:
        """Number of tokens dropped because they were old or already sent."""
        return self._stale

    @property
    def gaps(self) -> int:
        """Number of times that the current attempt skipped a token."""
        return self._gaps

    def offer(self, attempt: int, index: int) -> int:
        """Check one token before it is sent to the caller.

        :param attempt: number of the attempt that delivered the token.
        :param index: index of the token.
        :returns: ACCEPTED if the token is to be sent, STALE if it is to be
            dropped, or GAP if a token is missing; then send nothing and
            recover the stream.
        """
        if index == self._next and attempt == self._attempt:
            self._next = index + 1
            return ACCEPTED
        if attempt != self._attempt or index < self._next:
            self._stale += 1
            return STALE
        self._gaps += 1
        return GAP

    def start_attempt(self, attempt: int) -> int:
        """Accept only the tokens of a newer attempt from now on.

        :returns: the index of the first token that the attempt has to supply.
        :raises ValueError: if the attempt is not newer.
        """
        if attempt <= self._attempt:
            raise ValueError(f"attempt {attempt} is not newer")
        self._attempt = attempt
        return self._next
