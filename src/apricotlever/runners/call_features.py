"""What calls have in common, by which those that crash runners are known.

A call may crash its runner because of what it is as a whole, or because of one
part of its prompt, whatever else it holds. So a call has several features,
each with a name: its fingerprint, a hash that its repetitions share, and each
part of its prompt, once for all customers and once for its own. The last part
is left out, as it belongs to one call or session.
"""

import functools
import typing

import xxhash

#: Longest name of a part that is kept as it is; a longer one is hashed.
MAX_PART_CHARS = 16
#: The greatest number of parts of a call that count. The first ones are shared
#: by the most calls.
MAX_PARTS = 8
#: Begins the name of a part for all customers.
ANY_CUSTOMER = "part"
#: Stands between customer and part in the name of a part.
SEPARATOR = "/"


class CallFeatures:
    """The features of one call.

    :param fingerprint: the hash that all repetitions of the call share.
    :param customer: the name of its customer; "" without one.
    :param parts: the identifiers of the parts of its prompt that other calls
        may share, in order.
    :param request_id: the caller's identifier of the call, for the log.
    """

    __slots__ = (
        "customer_hash",
        "fingerprint",
        "names",
        "parts",
        "request_id",
    )

    def __init__(
        self,
        fingerprint: str,
        customer: str = "",
        parts: typing.Sequence[str] = (),
        request_id: str = "",
    ) -> None:
        self.fingerprint = fingerprint
        self.customer_hash = _customer_hash(customer)
        self.parts = tuple(dict.fromkeys(map(_part_name, parts[:MAX_PARTS])))
        self.request_id = request_id
        #: The names of all features.
        self.names = frozenset(
            (fingerprint, *part_features(self.customer_hash, self.parts))
        )


def part_features(
    customer_hash: str, parts: typing.Iterable[str]
) -> tuple[str, ...]:
    """The names of the features of a call's parts."""
    return tuple(
        f"{scope}{SEPARATOR}{part}"
        for part in parts
        for scope in (ANY_CUSTOMER, customer_hash)
    )


def is_part(name: str) -> bool:
    """Whether a feature is a part of a prompt."""
    return SEPARATOR in name


def part_of(name: str) -> str:
    """The part in the name of a feature."""
    return name.partition(SEPARATOR)[2]


@functools.lru_cache(maxsize=1024)
def _customer_hash(customer: str) -> str:
    return xxhash.xxh32_hexdigest(customer.encode())


def _part_name(part_id: str) -> str:
    if len(part_id) <= MAX_PART_CHARS and part_id.isalnum():
        return part_id
    return xxhash.xxh64_hexdigest(part_id.encode())
