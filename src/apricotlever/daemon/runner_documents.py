"""Parses the load and the cache events that runners report.

A cache event states that a runner's cache stored or dropped prompt blocks.
"""

import typing

from ..runners import model as runners


def parse_load(document: typing.Any) -> runners.LoadReport:
    """Parse a runner's load.

    :param document: the decoded JSON answer of the runner.
    :raises KeyError: when a field is missing.
    :raises TypeError: when the document or a field has the wrong type.
    :raises ValueError: when a field is not a number.
    """
    return runners.LoadReport(
        int(document["running"]),
        int(document["waiting"]),
        int(document["slots"]),
        int(document.get("blocks_used", 0)),
        int(document.get("blocks", 0)),
        float(document.get("tokens_per_s", 0.0)),
        float(document.get("age_s", 0.0)),
    )


def parse_cache_events(document: typing.Any) -> runners.CacheEvents:
    """Parse a runner's cache events.

    :param document: the decoded JSON answer of the runner.
    :raises KeyError: when a field is missing.
    :raises TypeError: when the document or a field has the wrong type.
    :raises ValueError: when a field is not a number.
    """
    events = tuple(
        runners.CacheEvent(
            int(event["seq"]),
            event["kind"] == "stored",
            tuple(int(block, 16) for block in event["blocks"]),
        )
        for event in document["events"]
    )
    return runners.CacheEvents(
        events, int(document["seq"]), int(document.get("from", 0))
    )
