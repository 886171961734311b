"""One call of a plain service, as it is run, forwarded and recognised."""

import hashlib

from ..catalogue import model as catalogues
from ..links import caller_server
from ..runners import quarantine

PATIENCE = 5
LEAST_PATIENCE_S = 1.0

_PASSED_ON = ("Content-Type", "Accept", "Accept-Language")


class ServiceRequest:
    """One call of a plain service.

    :param request_id: names it across the fleet.
    :param customer: the name of who sent it.
    :param entry: the catalogue entry.
    :param service_class: the class of the entry.
    :param method: HTTP method.
    :param path: path at the service, with its query.
    :param headers: those that are passed on.
    :param body: as it came.
    :param arrived: when it came, on this VM's clock.
    :param deadline: when the answer is worthless, on this VM's clock.
    :param non_idempotent: whether it must run at most once.
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
        "arrived",
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
        arrived: float,
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
        self.arrived = arrived
        self.deadline = deadline
        self.non_idempotent = non_idempotent

    @property
    def digest(self) -> str:
        """Tells this call from another under the same key."""
        head = f"{self.entry.name}\n{self.method}\n{self.path}\n"
        return hashlib.sha256(head.encode() + self.body).hexdigest()[:32]

    @property
    def fingerprint(self) -> str:
        """Names the request across the fleet."""
        call = f"{self.method} {self.path}"
        return quarantine.fingerprint(
            self.entry.name, self.customer, self.body, call
        )

    @property
    def patience_s(self) -> float:
        """How long an upstream may take to begin its answer."""
        wanted_s = PATIENCE * self.service_class.first_token_s
        return max(LEAST_PATIENCE_S, wanted_s)


def passed_on(call: caller_server.Call) -> dict[str, str]:
    """The headers of a caller that a service gets to see.

    :param call: what the caller sent.
    """
    return {name: value for name in _PASSED_ON if (value := call.header(name))}
