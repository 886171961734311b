"""What calls have in common, by which those that crash runners are known.

A call may crash its runner because of what it is as a whole, or because of one
part of its prompt, whatever else it holds. So a call is known by its
fingerprint, a hash that its repetitions share, and by the parts of its prompt.
The last part is left out, as it belongs to one call or session.
"""

import typing

import xxhash

#: Longest name of a part that is kept as it is; a longer one is hashed.
MAX_PART_CHARS = 16
#: The greatest number of parts of a call that are kept. The first ones are
#: shared by the most calls.
MAX_PARTS = 8


class CallFeatures:
    """The features of one call.

    :param fingerprint: the hash that all repetitions of the call share.
    :param customer: the name of its customer; "" without one.
    :param parts: the names of the parts of its prompt that other calls may
        share, in order.
    :param request_id: the caller's identifier of the call, for the log.
    """

    __slots__ = ("customer", "fingerprint", "parts", "request_id")

    def __init__(
        self,
        fingerprint: str,
        customer: str = "",
        parts: typing.Sequence[str] = (),
        request_id: str = "",
    ) -> None:
        self.fingerprint = fingerprint
        self.customer = customer
        self.parts = tuple(dict.fromkeys(map(part_name, parts[:MAX_PARTS])))
        self.request_id = request_id


def part_name(part_id: str) -> str:
    """The name of a prompt's part: its identifier, or a hash of a long one."""
    if len(part_id) <= MAX_PART_CHARS and part_id.isalnum():
        return part_id
    return xxhash.xxh64_hexdigest(part_id.encode())
