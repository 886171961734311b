"""Starts one entry VM's process."""

import asyncio
import gc
import random

from .. import clock as clocks
from .. import logs

from . import dialects
from . import log_writer
from . import node
from . import ports
from . import settings

#: Objects between two collections of the youngest generation. The default
#: of 700 collects many times a second although requests leave no cycles.
GC_THRESHOLD = 20000


def run(
    dialect: str,
    read_settings: settings.SettingsReader,
    listening: ports.Ports | None = None,
) -> int:
    """Serve until told to stop.

    :param dialect: the registered name of what is spoken at the edges.
    :param listening: ports that were opened before.
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
        dialects.dialect(dialect),
        clocks.SystemClock(),
        random.Random(),
        listening or ports.Ports(),
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
