"""Network addresses of listeners: an IP address and a port."""

import ipaddress

PORT_MAX = 65535


class Address:
    """The network address of a listener.

    :param host: an IP address; an IPv6 address is given without brackets.
    :param port: a TCP or UDP port; 0 lets the system choose a free one.
    """

    __slots__ = ("host", "port")

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Parse ``host:port``, with an IPv6 address in brackets.

        :raises ValueError: if the host is not an IP address or the port is
            not a number from 0 to ``PORT_MAX``.
        """
        host, _, port = text.rpartition(":")
        bare = host.removeprefix("[").removesuffix("]")
        ipaddress.ip_address(bare)
        if not 0 <= int(port) <= PORT_MAX:
            raise ValueError(f"port {port} is not from 0 to {PORT_MAX}")
        return cls(bare, int(port))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Address) and str(self) == str(other)

    def __hash__(self) -> int:
        return hash((self.host, self.port))
