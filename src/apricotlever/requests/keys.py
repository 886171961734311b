"""Idempotency keys that a VM mints, bound to it and to one customer.

A minted key reads ``al1.VM.INCARNATION.NONCE.MAC``. It names the only
incarnation whose ledger may run the call, so no VM needs the store to know
whom to ask. The nonce carries the time at which it was minted, in seconds
since that incarnation started, so the ledger can forget old keys safely.
"""

import hashlib
import hmac
import random

PREFIX = "al1."
SECRET_BYTES = 32
NONCE_BITS = 80
MAC_HEX_DIGITS = 32


class MintedKey:
    """The parts of a minted key; the MAC is not verified yet."""

    __slots__ = ("vm", "incarnation", "minted_s", "nonce", "mac")

    def __init__(
        self,
        vm: str,
        incarnation: int,
        minted_s: int,
        nonce: str,
        mac: str,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.minted_s = minted_s
        self.nonce = nonce
        self.mac = mac


def new_secret(rng: random.Random) -> bytes:
    """Make the secret of one incarnation.

    :param rng: a daemon passes :class:`random.SystemRandom`.
    """
    return rng.randbytes(SECRET_BYTES)


def is_minted(key: str) -> bool:
    """Tell a key that a VM minted from one that the caller made up."""
    return key.startswith(PREFIX)


def mint(
    vm: str,
    incarnation: int,
    minted_s: int,
    customer: str,
    secret: bytes,
    rng: random.Random,
) -> str:
    """Make a key for one call of one customer.

    :param minted_s: whole seconds since the incarnation started.
    """
    nonce = f"{minted_s:x}-{rng.getrandbits(NONCE_BITS):020x}"
    mac = _mac(secret, vm, incarnation, nonce, customer)
    return f"{PREFIX}{vm}.{incarnation}.{nonce}.{mac}"


def parse(key: str) -> MintedKey | None:
    """Take a minted key apart.

    :returns: None if the text isn't a well-formed minted key.
    """
    parts = key.removeprefix(PREFIX).rsplit(".", 3)
    if not is_minted(key) or len(parts) != 4 or not parts[0]:
        return None
    vm, incarnation, nonce, mac = parts
    minted, dash, _ = nonce.partition("-")
    if not dash or not (incarnation.isascii() and incarnation.isdigit()):
        return None
    try:
        return MintedKey(vm, int(incarnation), int(minted, 16), nonce, mac)
    except ValueError:
        return None


def verify(key: MintedKey, customer: str, secret: bytes) -> bool:
    """Check in constant time that the key was minted for this customer."""
    wanted = _mac(secret, key.vm, key.incarnation, key.nonce, customer)
    return hmac.compare_digest(wanted.encode(), key.mac.encode())


def _mac(
    secret: bytes, vm: str, incarnation: int, nonce: str, customer: str
) -> str:
    text = "\n".join((vm, str(incarnation), nonce, customer))
    digest = hmac.new(secret, text.encode(), hashlib.sha256)
    return digest.hexdigest()[:MAC_HEX_DIGITS]
