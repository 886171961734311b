"""Idempotency keys minted by a VM and bound to that VM and one customer.

A minted key has the form ``al1.VM.INCARNATION.NONCE.MAC``. It names the only
incarnation whose ledger may run the call, so a VM can find the owner of a key
without the store. The nonce contains the mint time, in seconds since the
start of that incarnation, so the ledger can drop old keys safely.
"""

import hashlib
import hmac
import random

PREFIX = "al1."
SECRET_BYTES = 32
NONCE_BITS = 80
MAC_HEX_DIGITS = 32


class MintedKey:
    """The fields of a parsed key, whose MAC may not have been verified.

    :param vm: the name of the VM that minted the key.
    :param incarnation: the incarnation of that VM.

    :param minted_s: mint time, in seconds since the incarnation started.
    :param nonce: the mint time and a random part.
    :param mac: authenticates the other fields and the customer.
    """

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
    """Generate the secret with which one incarnation authenticates its keys.

    :param rng: source of the secret; a daemon passes
        :class:`random.SystemRandom`.
    """
    return rng.randbytes(SECRET_BYTES)


def is_minted(key: str) -> bool:
    """Return whether a key has the prefix of minted keys."""
    return key.startswith(PREFIX)


def mint(
    vm: str,
    incarnation: int,
    minted_s: int,
    customer: str,
    secret: bytes,
    rng: random.Random,
) -> str:
    """Create the text of a key for one call of one customer.

    :param vm: the name of the minting VM.
    :param incarnation: the incarnation of that VM.
    :param minted_s: whole seconds since the incarnation started.
    :param customer: the customer that the key is bound to by its MAC.
    :param secret: the secret of the incarnation.
    :param rng: source of the key's random part.
    """
    nonce = f"{minted_s:x}-{rng.getrandbits(NONCE_BITS):020x}"
    mac = _mac(secret, vm, incarnation, nonce, customer)
    return f"{PREFIX}{vm}.{incarnation}.{nonce}.{mac}"


def parse(key: str) -> MintedKey | None:
    """Parse a minted key without verifying its MAC.

    :returns: the fields of the key, or None if the text is not a well-formed
        minted key.
    """
    parts = key.removeprefix(PREFIX).rsplit(".", 3)
    if not is_minted(key) or len(parts) != 4 or not parts[0]:
        return None
    vm, incarnation, nonce, mac = parts
    minted_hex, dash, _ = nonce.partition("-")
    if not dash or not (incarnation.isascii() and incarnation.isdigit()):
        return None
    try:
        return MintedKey(vm, int(incarnation), int(minted_hex, 16), nonce, mac)
    except ValueError:
        return None


def verify(key: MintedKey, customer: str, secret: bytes) -> bool:
    """Return whether this incarnation minted the key for this customer.

    The MAC is compared in constant time.

    :param secret: the secret of the incarnation that the key names.
    """
    expected = _mac(secret, key.vm, key.incarnation, key.nonce, customer)
    return hmac.compare_digest(expected.encode(), key.mac.encode())


def _mac(
    secret: bytes, vm: str, incarnation: int, nonce: str, customer: str
) -> str:
    text = "\n".join((vm, str(incarnation), nonce, customer))
    digest = hmac.new(secret, text.encode(), hashlib.sha256)
    return digest.hexdigest()[:MAC_HEX_DIGITS]
