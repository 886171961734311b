"""Tokens by which a caller finds its stream after an entry VM has died.

The dead VM's records are gone, but the runner goes on with the stream for
a while. The token names the runner, and is bound to the customer by its
key's hash, which every entry VM knows from the catalogue. Request IDs can't
be guessed, so a customer can't make up a token for another's request.
"""

import base64
import binascii
import hashlib
import hmac
import json

from ..catalogue import model as catalogues

HEADER = "Apricotlever-Resume"
EVENT = "resume"


class Ticket:
    """What a token says.

    :param request_id: the request.
    :param entry: name of the catalogue entry.
    :param runner: the runner that works on it.
    :param chat: whether it came in the chat form.
    :param max_tokens: the most that the answer may have.
    """

    __slots__ = ("request_id", "entry", "runner", "chat", "max_tokens")

    def __init__(
        self,
        request_id: str,
        entry: str,
        runner: str,
        chat: bool,
        max_tokens: int,
    ) -> None:
        self.request_id = request_id
        self.entry = entry
        self.runner = runner
        self.chat = chat
        self.max_tokens = max_tokens


def encode(ticket: Ticket, customer: catalogues.Customer) -> str:
    """The token of a stream.

    :param customer: whose request it is.
    """
    fields = [
        ticket.request_id,
        ticket.entry,
        ticket.runner,
        ticket.chat,
        ticket.max_tokens,
    ]
    payload = base64.urlsafe_b64encode(json.dumps(fields).encode())
    return f"{payload.decode()}.{_mac(payload, customer)}"


def decode(text: str, customer: catalogues.Customer) -> Ticket | None:
    """Read a token.

    :param customer: who brings it.
    :returns: None when it is malformed or another customer's.
    """
    payload, _, mac = text.partition(".")
    wanted = _mac(payload.encode(), customer)
    if not hmac.compare_digest(mac.encode(), wanted.encode()):
        return None
    try:
        fields = json.loads(base64.urlsafe_b64decode(payload))
        return Ticket(*fields)
    except (ValueError, TypeError, binascii.Error):
        return None


def event(token: str) -> bytes:
    """Gives a caller the token that counts from now on."""
    return f"event: {EVENT}\ndata: {token}\n\n".encode()


def _mac(payload: bytes, customer: catalogues.Customer) -> str:
    key = customer.key_sha256.encode()
    return hmac.new(key, payload, hashlib.sha256).hexdigest()
