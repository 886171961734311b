"""What runners tell of their load and caches, as typed messages."""

import typing

from ..runners import model as runners


def load_of(document: typing.Any) -> runners.LoadReport:
    """A runner's load.

    :param document: its answer, decoded.
    :raises KeyError: when a field is missing.
    :raises TypeError: when the document or a field is of a wrong type.
    :raises ValueError: when a field is no number.
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


def events_of(document: typing.Any) -> runners.CacheEvents:
    """What changed in a runner's cache.

    :param document: its answer, decoded.
    :raises KeyError: when a field is missing.
    :raises TypeError: when the document or a field is of a wrong type.
    :raises ValueError: when a field is no number.
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
