"""One call of a plain service and its timeouts."""

import hashlib

from ..catalogue import model as catalogues
from ..links import caller_server
from ..runners import call_features
from ..runners import quarantine
from ..runners import silence_detector

#: Timeout for the start of an upstream's response, as a multiple of the
#: service class's target for the first token.
RESPONSE_TIMEOUT_FACTOR = 5
#: Lower bound of that timeout, in seconds. A sound upstream may be silent for
#: so long, and a call that is repeated elsewhere would run twice.
MIN_RESPONSE_TIMEOUT_S = silence_detector.MAX_SOUND_SILENCE_S

_FORWARDED_HEADERS = ("Content-Type", "Accept", "Accept-Language")


class ServiceRequest:
    """One call of a plain service.

    :param request_id: ID of the call, unique in the fleet.
    :param customer: name of the customer.
    :param entry: the catalogue entry.
    :param service_class: the class of the entry.
    :param method: HTTP method.
    :param path: path at the service, with the query string.
    :param headers: the headers that are forwarded.
    :param body: the body, unchanged.
    :param arrived_at: time of arrival on this VM's clock, in seconds.
    :param deadline: time after which the caller no longer needs the answer,
        on this VM's clock, in seconds.
    :param non_idempotent: whether the call must run at most once.
    """

    __slots__ = (
        "request_id",
        "customer",
        "entry",
        "service_class",
        "method",
        "path",
        "headers",
        "body",
        "deadline",
        "arrived_at",
        "non_idempotent",
    )

    def __init__(
        self,
        request_id: str,
        customer: str,
        entry: catalogues.Entry,
        service_class: catalogues.ServiceClass,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        arrived_at: float,
        deadline: float,
        non_idempotent: bool,
    ) -> None:
        self.request_id = request_id
        self.customer = customer
        self.entry = entry
        self.service_class = service_class
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.non_idempotent = non_idempotent

    @property
    def digest(self) -> str:
        """A hash of the call, to detect a key that is used for another one."""
        head = f"{self.entry.name}\n{self.method}\n{self.path}\n"
        return hashlib.sha256(head.encode() + self.body).hexdigest()[:32]

    @property
    def features(self) -> call_features.CallFeatures:
        """By what the quarantine recognises equal calls."""
        call = f"{self.method} {self.path}"
        return call_features.CallFeatures(
            quarantine.fingerprint(
                self.entry.name, self.customer, self.body, call
            ),
            self.customer,
        )

    @property
    def response_timeout_s(self) -> float:
        """Seconds that an upstream may take to begin its answer."""
        timeout_s = RESPONSE_TIMEOUT_FACTOR * self.service_class.first_token_s
        return max(MIN_RESPONSE_TIMEOUT_S, timeout_s)


def forwarded_headers(call: caller_server.Call) -> dict[str, str]:
    """The headers of a call that are forwarded to the service.

    :param call: the HTTP call.
    """
    return {
        name: value
        for name in _FORWARDED_HEADERS
        if (value := call.header(name))
    }
