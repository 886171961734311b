"""The catalogue as typed values: what operators put in force.

All classes here are values: set once, never changed, safe to share between
threads.
"""

import collections.abc
import hashlib
import hmac
import typing

from . import calls
from . import writing

KIND_MODEL = writing.KIND_MODEL
KIND_SERVICE = "service"

Call = calls.Call


class Limits:
    """What an entry may consume over the whole fleet; None is no limit.

    :param concurrent: requests in flight at once.
    :param requests_per_s: requests admitted per second.
    :param tokens_per_s: prompt and answer tokens per second.
    :param spend_per_hour: in the currency of the cloud API's prices.
    """

    __slots__ = (
        "concurrent",
        "requests_per_s",
        "tokens_per_s",
        "spend_per_hour",
    )

    def __init__(
        self,
        concurrent: int | None = None,
        requests_per_s: float | None = None,
        tokens_per_s: float | None = None,
        spend_per_hour: float | None = None,
    ) -> None:
        self.concurrent = concurrent
        self.requests_per_s = requests_per_s
        self.tokens_per_s = tokens_per_s
        self.spend_per_hour = spend_per_hour


class Capacity:
    """How many runners of which machine class may serve an entry.

    :param min_runners: kept even without demand.
    :param max_runners: never exceeded.
    :param slots_per_runner: requests that one runner serves at once.
    :param machine: machine class in the words of the cloud API.
    """

    __slots__ = ("min_runners", "max_runners", "slots_per_runner", "machine")

    def __init__(
        self,
        min_runners: int,
        max_runners: int,
        slots_per_runner: int,
        machine: str,
    ) -> None:
        self.min_runners = min_runners
        self.max_runners = max_runners
        self.slots_per_runner = slots_per_runner
        self.machine = machine


class ServiceClass:
    """How long work may wait and when it may be shed.

    :param first_token_s: target for the first token, or a whole answer of
        a plain service.
    :param between_tokens_s: target between two tokens.
    :param deadline_s: when the whole answer is worthless.
    :param queue_s: the longest wait for admission.
    :param shed_order: 0 to 9; a higher one is shed first.
    :param priority: 0 to 9; a higher one goes first at the engines.
    """

    __slots__ = (
        "name",
        "first_token_s",
        "between_tokens_s",
        "deadline_s",
        "queue_s",
        "shed_order",
        "priority",
    )

    def __init__(
        self,
        name: str,
        first_token_s: float,
        between_tokens_s: float,
        deadline_s: float,
        queue_s: float,
        shed_order: int,
        priority: int,
    ) -> None:
        self.name = name
        self.first_token_s = first_token_s
        self.between_tokens_s = between_tokens_s
        self.deadline_s = deadline_s
        self.queue_s = queue_s
        self.shed_order = shed_order
        self.priority = priority


class Customer:
    """Who calls.

    :param name: the customer's name.
    :param key_sha256: hex SHA-256 of the bearer key, which is not stored.
    :param weight: share under contention, relative to other customers.
    """

    __slots__ = ("name", "key_sha256", "weight")

    def __init__(
        self, name: str, key_sha256: str, weight: float = 1.0
    ) -> None:
        self.name = name
        self.key_sha256 = key_sha256
        self.weight = weight


class Entry:
    """A service that callers may use.

    :param name: what callers put into ``model`` or the path.
    :param owner: who answers for it.
    :param kind: ``KIND_MODEL`` or ``KIND_SERVICE``.
    :param class_name: the service class of its requests.
    :param model: the model that the engines load, empty for a service.
    :param model_version: the model's version, empty for a service.
    :param pool: the pool of runners that serve it.
    :param non_idempotent: calls that run at most once.
    :param customers: who may call, None for all.
    """

    __slots__ = (
        "name",
        "owner",
        "kind",
        "class_name",
        "model",
        "model_version",
        "pool",
        "non_idempotent",
        "customers",
        "limits",
        "capacity",
    )

    def __init__(
        self,
        name: str,
        owner: str,
        kind: str,
        class_name: str,
        model: str,
        model_version: str,
        pool: str,
        non_idempotent: tuple[calls.Call, ...],
        customers: frozenset[str] | None,
        limits: Limits,
        capacity: Capacity,
    ) -> None:
        self.name = name
        self.owner = owner
        self.kind = kind
        self.class_name = class_name
        self.model = model
        self.model_version = model_version
        self.pool = pool
        self.non_idempotent = non_idempotent
        self.customers = customers
        self.limits = limits
        self.capacity = capacity

    def is_non_idempotent(self, method: str, path: str) -> bool:
        """Whether a call of this entry must run at most once.

        :param method: the HTTP method.
        :param path: the path after the entry's name.
        """
        return any(call.matches(method, path) for call in self.non_idempotent)

    def allows(self, customer: str) -> bool:
        """Whether a customer may call this entry."""
        return self.customers is None or customer in self.customers


class Catalogue:
    """Everything that one version of the catalogue puts in force.

    :param version: the version of the object that holds it; 0 is none.
    :param entries: by name.
    :param classes: by name.
    :param customers: by name.
    """

    __slots__ = ("version", "entries", "classes", "customers", "_by_key")

    def __init__(
        self,
        version: int,
        entries: collections.abc.Mapping[str, Entry],
        classes: collections.abc.Mapping[str, ServiceClass],
        customers: collections.abc.Mapping[str, Customer],
    ) -> None:
        self.version = version
        self.entries = entries
        self.classes = classes
        self.customers = customers
        self._by_key = {
            customer.key_sha256: customer for customer in customers.values()
        }

    @property
    def document(self) -> dict[str, typing.Any]:
        """The catalogue as the JSON document that operators edit."""
        return writing.document(self.customers, self.classes, self.entries)

    def customer_of(self, bearer_key: str) -> Customer | None:
        """Who owns a bearer key.

        Only the hash is looked up: the time of the look-up depends on a
        digest that the caller can't steer, so it tells nothing about how
        much of a guessed key is right.

        :param bearer_key: the key as the caller sent it.
        :returns: the customer, or None for an unknown key.
        """
        digest = hash_of_key(bearer_key)
        customer = self._by_key.get(digest)
        if customer is None:
            return None
        same = hmac.compare_digest(customer.key_sha256, digest)
        return customer if same else None

    def class_of(self, entry: Entry) -> ServiceClass:
        """The service class of an entry of this catalogue."""
        return self.classes[entry.class_name]


def hash_of_key(bearer_key: str) -> str:
    """The hex SHA-256 under which the catalogue knows a bearer key."""
    return hashlib.sha256(bearer_key.encode("utf-8", "replace")).hexdigest()


EMPTY = Catalogue(0, {}, {}, {})
