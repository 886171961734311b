"""The daemon, with relays on its way to some peers, as a program.

A fleet's members tell each other their own addresses, so a relay can't be
put in front of a peer from outside. This program reads from a file beside
its settings which peers' addresses to replace, at each call.
"""

import json
import pathlib
import sys
import typing

from apricotlever.daemon import main
from apricotlever.links import peer_link

SUFFIX = ".detours"


def path_for(settings_path: pathlib.Path) -> pathlib.Path:
    """Where the replacements of the daemon with these settings are."""
    return settings_path.with_suffix(SUFFIX)


def _detour(path: pathlib.Path) -> None:
    direct = peer_link.PeerLink.call

    def call(
        link: peer_link.PeerLink, address: str, *arguments: typing.Any
    ) -> typing.Any:
        found = json.loads(path.read_text()) if path.exists() else {}
        return direct(link, found.get(address, address), *arguments)

    peer_link.PeerLink.call = call  # type: ignore[method-assign]


if __name__ == "__main__":
    settings_at = sys.argv.index("--settings") + 1
    _detour(path_for(pathlib.Path(sys.argv[settings_at])))
    main.run()
