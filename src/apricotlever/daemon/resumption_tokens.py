"""Tokens by which a caller resumes its stream after an entry VM has crashed.

The records of the crashed VM are lost, but the runner retains the stream for
a limited time. The token names the runner. It is authenticated with the hash
of the customer's key, which every entry VM has in the catalogue. Request IDs
can't be guessed, so a customer can't make a token for another customer's
request.
"""

import base64
import binascii
import hashlib
import hmac
import json

from ..catalogue import model as catalogues

HEADER = "Apricotlever-Resume"
EVENT = "resume"


class ResumptionToken:
    """The content of a resumption token.

    :param request_id: the request's ID.
    :param entry: name of the catalogue entry.
    :param runner: name of the runner that has the stream.
    :param chat: whether the request is a chat completion.
    :param max_tokens: the most tokens that the answer may have.
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


def encode(token: ResumptionToken, customer: catalogues.Customer) -> str:
    """Encode a token and append its authentication code.

    :param token: the content of the token.
    :param customer: the customer whose request it is.
    """
    fields = [
        token.request_id,
        token.entry,
        token.runner,
        token.chat,
        token.max_tokens,
    ]
    payload = base64.urlsafe_b64encode(json.dumps(fields).encode())
    return f"{payload.decode()}.{_mac(payload, customer)}"


def decode(text: str, customer: catalogues.Customer) -> ResumptionToken | None:
    """Verify and decode a token.

    :param text: the encoded token.
    :param customer: the customer that presents it.
    :returns: the content; None when the token is malformed or belongs to
        another customer.
    """
    payload, _, mac = text.partition(".")
    expected = _mac(payload.encode(), customer)
    if not hmac.compare_digest(mac.encode(), expected.encode()):
        return None
    try:
        fields = json.loads(base64.urlsafe_b64decode(payload))
        return ResumptionToken(*fields)
    except (ValueError, TypeError, binascii.Error):
        return None


def encode_event(text: str) -> bytes:
    """The SSE event that gives a caller a new token for its stream.

    :param text: the encoded token, which replaces all earlier ones.
    """
    return f"event: {EVENT}\ndata: {text}\n\n".encode()


def _mac(payload: bytes, customer: catalogues.Customer) -> str:
    key = customer.key_sha256.encode()
    return hmac.new(key, payload, hashlib.sha256).hexdigest()
