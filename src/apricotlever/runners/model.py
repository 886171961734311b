"""Data types of routing: runners, queries, routes and reports.

A prompt is divided into blocks, and the hash of a block also depends on all
blocks before it, so that it identifies a whole prefix (see :mod:`.prefix`).
Runners cache what they computed for the blocks of earlier prompts.
"""

import enum


class StreamOrigin:
    """The runners among which a stream that has begun may move.

    What runners of two services, or of two versions of their software, write
    does not fit together.

    :param service: the service whose runner began the stream.
    :param version: the version of that runner's software; "" if unknown.
    """

    __slots__ = ("service", "version")

    def __init__(self, service: str, version: str) -> None:
        self.service = service
        self.version = version

    def __eq__(self, other: object) -> bool:
        return (
            isinstance(other, StreamOrigin)
            and self.service == other.service
            and self.version == other.version
        )

    def __hash__(self) -> int:
        return hash((self.service, self.version))

    def __repr__(self) -> str:
        return f"StreamOrigin({self.service!r}, {self.version!r})"


#: What the router groups runners by: a pool, or the origin of streams.
Group = str | StreamOrigin


class Runner:
    """The description of one upstream in the platform's runner list.

    :param name: unique for the lifetime of the VM that the runner runs on.
    :param address: ``host:port``.
    :param data_centre: the data centre that the runner runs in.
    :param pool: the pool of runners to which catalogue entries refer.
    :param market: ``reclaimable`` or ``on_demand``.
    :param machine: the machine class.
    :param price_per_hour: the price of the whole runner.
    :param slots: requests that the runner runs concurrently; a slot is room
        for one of them.
    :param origin: of the streams that begin at the runner; None if these are
        never continued elsewhere.
    """

    __slots__ = (
        "name",
        "address",
        "data_centre",
        "pool",
        "market",
        "machine",
        "price_per_hour",
        "slots",
        "origin",
    )

    def __init__(
        self,
        name: str,
        address: str,
        data_centre: str,
        pool: str,
        market: str,
        machine: str,
        price_per_hour: float,
        slots: int,
        origin: StreamOrigin | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.data_centre = data_centre
        self.pool = pool
        self.market = market
        self.machine = machine
        self.price_per_hour = price_per_hour
        self.slots = slots
        self.origin = origin


class Outcome(enum.Enum):
    """How a request ended at its runner."""

    #: The runner answered it in full.
    DONE = "done"
    #: The caller or the system ended the request, which says nothing about
    #: the runner.
    CANCELLED = "cancelled"
    #: The runner broke the request off, refused it or timed out.
    FAILED = "failed"


class Query:
    """A request that is to be routed to any runner of a pool.

    :param blocks: the chain of prompt block hashes; empty for plain services,
        which have no prompts.
    :param prompt_tokens: tokens of the whole prompt.
    :param expected_tokens: expected tokens of the answer.
    :param priority: 0 to 9; higher priorities are served first.
    :param excluded: runners that must not be chosen.
    :param shared_blocks: number of leading blocks that the prompt has in
        common with other requests.
    :param can_copy: whether a runner may copy cached blocks from another one.
    :param wanted_first_token_s: the target of the service class for the time
        to the first token, in seconds.
    """

    __slots__ = (
        "entry",
        "pool",
        "model",
        "blocks",
        "prompt_tokens",
        "expected_tokens",
        "priority",
        "excluded",
        "wanted_first_token_s",
        "shared_blocks",
        "can_copy",
    )

    def __init__(
        self,
        entry: str,
        pool: str,
        model: str,
        blocks: tuple[int, ...] = (),
        prompt_tokens: int = 0,
        expected_tokens: int = 0,
        priority: int = 0,
        excluded: frozenset[str] = frozenset(),
        wanted_first_token_s: float = 1.0,
        shared_blocks: int = 0,
        can_copy: bool = False,
    ) -> None:
        self.entry = entry
        self.pool = pool
        self.model = model
        self.blocks = blocks
        self.prompt_tokens = prompt_tokens
        self.expected_tokens = expected_tokens
        self.priority = priority
        self.excluded = excluded
        self.wanted_first_token_s = wanted_first_token_s
        self.shared_blocks = shared_blocks
        self.can_copy = can_copy

    @property
    def group(self) -> Group:
        """The runners that may take the request."""
        return self.pool

    @property
    def accepts_unhealthy(self) -> bool:
        """Whether a runner behind an open circuit is better than none."""
        return False


class ContinuationQuery(Query):
    """A request that continues a stream, at a runner like the first one.

    :param query: describes the request.
    :param origin: where the stream began.
    """

    __slots__ = ("origin",)

    def __init__(self, query: Query, origin: StreamOrigin) -> None:
        for name in Query.__slots__:
            setattr(self, name, getattr(query, name))
        self.origin = origin

    @property
    def group(self) -> Group:
        """The runners of the stream's origin, in whichever pool they are."""
        return self.origin

    @property
    def accepts_unhealthy(self) -> bool:
        """Always: without a runner of its origin the stream is lost."""
        return True


class Route:
    """The runner chosen for a query.

    :param runner: the description of the runner, with its address.
    :param expected_first_token_s: the estimate that the choice was based on.
    :param cached_blocks: prompt blocks that the runner probably has cached.
    """

    __slots__ = ("runner", "expected_first_token_s", "cached_blocks")

    def __init__(
        self,
        runner: Runner,
        expected_first_token_s: float,
        cached_blocks: int,
    ) -> None:
        self.runner = runner
        self.expected_first_token_s = expected_first_token_s
        self.cached_blocks = cached_blocks


class NoRunnerReason(enum.Enum):
    """Why no runner could be chosen."""

    #: The pool has no runners.
    EMPTY_POOL = "empty_pool"
    #: All runners of the pool are about to end.
    ALL_LEAVING = "all_leaving"
    #: The query excludes all runners that accept new requests.
    ALL_EXCLUDED = "all_excluded"
    #: The circuit breakers of the other runners let no request through.
    ALL_UNHEALTHY = "all_unhealthy"


class NoRunner:
    """The answer when no runner can take the query now.

    :param retry_after_s: seconds after which a retry may succeed.
    """

    __slots__ = ("reason", "retry_after_s")

    def __init__(self, reason: NoRunnerReason, retry_after_s: float) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s


class LoadReport:
    """The load that a runner reported.

    :param running: requests that run, from all VMs.
    :param waiting: requests that wait for a slot.
    :param slots: requests that the runner runs concurrently; 0 if unknown.
    :param blocks: the size of its cache in prompt blocks; 0 if unknown.
    :param age_s: age of the figures in seconds when they were read.
    """

    __slots__ = (
        "running",
        "waiting",
        "slots",
        "blocks_used",
        "blocks",
        "tokens_per_s",
        "age_s",
    )

    def __init__(
        self,
        running: int,
        waiting: int,
        slots: int,
        blocks_used: int = 0,
        blocks: int = 0,
        tokens_per_s: float = 0.0,
        age_s: float = 0.0,
    ) -> None:
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.blocks_used = blocks_used
        self.blocks = blocks
        self.tokens_per_s = tokens_per_s
        self.age_s = age_s


class CacheEvent:
    """Blocks that a runner stored in or removed from its cache.

    :param seq: the runner's sequence number of the event.
    :param stored: True if the blocks were stored, False if removed.
    :param blocks: the hashes of the blocks.
    """

    __slots__ = ("seq", "stored", "blocks")

    def __init__(self, seq: int, stored: bool, blocks: tuple[int, ...]):
        self.seq = seq
        self.stored = stored
        self.blocks = blocks


class CacheEvents:
    """A runner's answer to a poll for its cache events.

    :param events: in the order of ``seq``, possibly with gaps.
    :param last: the newest sequence number that the runner assigned.
    :param first_kept: the oldest sequence number that it still keeps.
    """

    __slots__ = ("events", "last", "first_kept")

    def __init__(
        self,
        events: tuple[CacheEvent, ...],
        last: int,
        first_kept: int = 0,
    ) -> None:
        self.events = events
        self.last = last
        self.first_kept = first_kept
