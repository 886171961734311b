"""Gives each VM of a soak test a path of its own to each runner.

All VMs know a runner by one address, as entries that a VM fetches from another
one must be the same everywhere. A VM process opens connections to it at the
loopback address of the VM instead, where a proxy listens at the same port.
"""

import typing

from apricotlever.serving import client_channel

#: The host of all runners as their entries name it; nothing listens there.
RUNNER_HOST = "127.0.0.9"
_FIRST_VM_HOST = 10


def host_of(vm: str) -> str:
    """The loopback address at which a VM reaches the runners.

    :param vm: name of the VM, which ends with its number.
    """
    return f"127.0.0.{_FIRST_VM_HOST + int(vm.rpartition('-')[2])}"


def use_paths_of(vm: str) -> None:
    """Let this process reach the runners by the paths of a VM."""
    own_host = host_of(vm)
    connect = client_channel.connect

    async def connect_by_path(
        host: str, port: int, *arguments: typing.Any
    ) -> client_channel.Channel:
        if host == RUNNER_HOST:
            host = own_host
        return await connect(host, port, *arguments)

    client_channel.connect = connect_by_path
