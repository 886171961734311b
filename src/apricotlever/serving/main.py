"""Starts the process of one entry VM."""

import asyncio
import gc
import random

from .. import clock as clocks
from .. import logs

from . import dialects
from . import listening_sockets
from . import log_writer
from . import node
from . import settings

#: Number of new objects that triggers a garbage collection of the youngest
#: generation. With the default of 700, collections run many times a second,
#: although requests create no reference cycles.
GC_THRESHOLD = 20000


def run(
    dialect: str,
    read_settings: settings.SettingsReader,
    listening: listening_sockets.ListeningSockets | None = None,
) -> int:
    """Serve calls as one entry VM until a signal stops the process.

    :param dialect: the registered name of the dialect, the protocols of
        callers, runners and platform.
    :param read_settings: reads the settings file.
    :param listening: listening sockets that are already open.
    :returns: the exit code.
    """
    config = read_settings()
    writer = log_writer.LogWriter(log_writer.STANDARD_OUTPUT)
    logs.setup_writer(config.vm, writer.write)
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    gc.enable()
    member = node.Node(
        read_settings,
        dialects.create_dialect(dialect),
        clocks.SystemClock(),
        random.Random(),
        listening or listening_sockets.ListeningSockets(),
    )
    asyncio.run(_serve(member, writer))
    return 0


async def _serve(member: node.Node, writer: log_writer.LogWriter) -> None:
    flusher = asyncio.get_running_loop().create_task(writer.run())
    try:
        await member.run()
    finally:
        flusher.cancel()
        writer.flush()
