"""Addresses at which something listens."""

import ipaddress

PORT_MAX = 65535


class Address:
    """Where something listens.

    :param host: an IP number, without brackets.
    :param port: a TCP or UDP port; 0 for any free one.
    """

    __slots__ = ("host", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Read ``host:port``; an IPv6 number stands in brackets.

        :raises ValueError: if the text is not an address.
        """
        host, _, port = text.rpartition(":")
        bare = host.removeprefix("[").removesuffix("]")
        ipaddress.ip_address(bare)
        if not 0 <= int(port) <= PORT_MAX:
            raise ValueError(f"port {port} is over {PORT_MAX}")
        return cls(bare, int(port))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Address) and str(self) == str(other)

    def __hash__(self) -> int:
        return hash((self.host, self.port))
