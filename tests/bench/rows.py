"""Records of requests for the tests of the load tool and the demo."""

import typing

Row = dict[str, typing.Any]


def row(**changes: typing.Any) -> Row:
    """Make the record of a successful stream, with some fields changed."""
    return {
        "record": "request",
        "number": 0,
        "at_s": 0.0,
        "work": "mandate",
        "customer": "belem",
        "class": "notary-desk",
        "entry": "mandate-check",
        "request": "r-0",
        "operation": None,
        "outcome": "whole",
        "status": 200,
        "executed": "yes",
        "error": None,
        "problem": "",
        "tokens": 3,
        "doubled_tokens": 0,
        "first_token_s": 0.1,
        "whole_s": 0.2,
        "gaps_us": [20_000, 20_000],
        "lag_s": 0.0,
        "tries": 1,
        "moves": 0,
        "breaks": 0,
        **changes,
    }


def registration(operation: str, **changes: typing.Any) -> Row:
    """Make the record of a successful non-idempotent call, with changes."""
    return row(
        work="registration",
        operation=operation,
        first_token_s=None,
        gaps_us=[],
        tokens=0,
        **changes,
    )


def naive_target_met(rows: list[Row], first_token_s: float) -> bool:
    """Whether the answered streams alone met the first-token target."""
    answered = sorted(each["first_token_s"] for each in rows if each["tokens"])
    return answered[round(0.95 * (len(answered) - 1))] <= first_token_s
