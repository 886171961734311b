"""Runs the daemon with relays in front of some of its peers.

The members of a fleet announce their own addresses, so a test can't put a
relay in front of a peer from outside. At each call to a peer, this program
reads from a file beside its settings which addresses to replace.
"""

import json
import pathlib
import sys
import typing

from apricotlever.daemon import main
from apricotlever.links import peer_link

SUFFIX = ".detours"


def path_for(settings_path: pathlib.Path) -> pathlib.Path:
    """The file with the address replacements for a daemon.

    :param settings_path: the settings file of the daemon.
    """
    return settings_path.with_suffix(SUFFIX)


def _replace_peer_addresses(path: pathlib.Path) -> None:
    original_call = peer_link.PeerLink.call

    def call(
        link: peer_link.PeerLink, address: str, *arguments: typing.Any
    ) -> typing.Any:
        replacements = json.loads(path.read_text()) if path.exists() else {}
        return original_call(
            link, replacements.get(address, address), *arguments
        )

    peer_link.PeerLink.call = call  # type: ignore[method-assign]


if __name__ == "__main__":
    settings_index = sys.argv.index("--settings") + 1
    _replace_peer_addresses(path_for(pathlib.Path(sys.argv[settings_index])))
    main.run()
