"""Sums up a load run, and compares two."""

import collections
import itertools
import json
import pathlib
import typing

from apricotlever import histograms

from . import _load_calls
from . import _load_drive

PERCENTS = (50.0, 95.0, 99.0)
US_PER_S = 1_000_000
#: The target that the users gave for 95 in 100.
FIRST_TOKEN_TARGET_S = 1.2
GAP_TARGET_S = 0.067
TARGET_PERCENT = 95.0
Document = dict[str, typing.Any]
Key = tuple[str, str, str]


class RunFileInvalid(Exception):
    """A file does not hold a run."""


def summary(rows: list[Document], seconds: float) -> Document:
    """Sum up the requests of a run.

    :param rows: records of requests.
    :param seconds: how long requests were sent for.
    """
    kept = _histograms(rows)
    outcomes = collections.Counter(row["outcome"] for row in rows)
    lags = _spread([row["lag_s"] for row in rows])
    streams = [row for row in rows if row["first_token_s"] is not None]
    gaps = [us / US_PER_S for row in streams for us in row["gaps_us"]]
    first = _spread([row["first_token_s"] for row in streams])
    between = _spread(gaps)
    whole = [row for row in rows if row["outcome"] == _load_calls.WHOLE]
    return {
        "record": "summary",
        "requests": len(rows),
        "per_s": round(len(rows) / seconds, 3),
        "outcomes": dict(outcomes),
        "tokens": sum(row["tokens"] for row in rows),
        "doubled_tokens": sum(row["doubled_tokens"] for row in rows),
        "first_token_s": first,
        "between_tokens_s": between,
        "whole_s": _spread([row["whole_s"] for row in whole]),
        "classes": _classes(kept, rows),
        "customers": _customers(kept),
        "generator_lag_s": lags,
        "generator_ok": lags["p99"] <= _load_drive.LAG_P99_MAX_S,
        "target_met": _target_met(rows, first, between),
        "histograms": kept.encoded(),
    }


def lines(rows: list[Document], path: pathlib.Path) -> None:
    """Write records, one JSON object a line."""
    text = "".join(json.dumps(row) + "\n" for row in rows)
    path.write_text(text)


def read(path: str) -> list[Document]:
    """Read a run's records.

    :raises RunFileInvalid: if it holds none.
    """
    try:
        content = pathlib.Path(path).read_text()
        rows = [json.loads(line) for line in content.splitlines()]
    except (OSError, ValueError) as error:
        raise RunFileInvalid(f"{path}: {error}") from error
    if not any(row.get("record") == "summary" for row in rows):
        raise RunFileInvalid(f"{path}: there is no summary in it")
    return rows


def compared(before: list[Document], after: list[Document]) -> list[Document]:
    """One row for each class, measure and percentile of two runs.

    :param before: records of a run.
    :param after: records of another.
    """
    old = _percentiles(before)
    new = _percentiles(after)
    return [
        {
            "class": key[0],
            "measure": key[1],
            "percentile": key[2],
            "before_s": old[key],
            "after_s": new[key],
            "ratio": round(new[key] / old[key], 3) if old[key] else None,
        }
        for key in sorted(set(old) & set(new))
    ]


def compared_outcomes(
    before: list[Document], after: list[Document]
) -> list[Document]:
    """How many requests ended in each way, in two runs."""
    counts = [
        collections.Counter(row["outcome"] for row in _requests(rows))
        for rows in (before, after)
    ]
    return [
        {"outcome": name, "before": counts[0][name], "after": counts[1][name]}
        for name in sorted(set(counts[0]) | set(counts[1]))
    ]


def _requests(rows: list[Document]) -> list[Document]:
    return [row for row in rows if row["record"] == "request"]


def _histograms(rows: list[Document]) -> histograms.Histograms:
    kept = histograms.Histograms()
    for row in rows:
        who = (row["customer"], row["class"])
        if row["first_token_s"] is not None:
            kept.record(histograms.FIRST_TOKEN, *who, row["first_token_s"])
        if row["outcome"] == _load_calls.WHOLE:
            kept.record(histograms.WHOLE_ANSWER, *who, row["whole_s"])
        handle = kept.distribution(histograms.BETWEEN_TOKENS, *who)
        for gap_us in row["gaps_us"]:
            handle.record_us(gap_us)
    return kept


def _classes(
    kept: histograms.Histograms, rows: list[Document]
) -> list[Document]:
    """Percentiles by class, and its outcomes."""
    outcomes: dict[str, collections.Counter[str]] = {}
    for row in rows:
        counter = outcomes.setdefault(row["class"], collections.Counter())
        counter[row["outcome"]] += 1
    found = _by(kept, lambda each: each.service_class)
    return [
        {"class": name, **dict(outcomes.get(name, {})), **measures}
        for name, measures in found.items()
    ]


def _customers(kept: histograms.Histograms) -> list[Document]:
    found = _by(kept, lambda each: each.customer)
    return [{"customer": name, **rest} for name, rest in found.items()]


def _by(
    kept: histograms.Histograms,
    name_of: typing.Callable[[histograms.Distribution], str],
) -> dict[str, Document]:
    """Percentiles of each measure, merged by a name."""
    keyed = sorted(kept.distributions(), key=name_of)
    found = {}
    for name, group in itertools.groupby(keyed, name_of):
        relabelled = [
            {**each.encoded, "customer": "", "class": ""} for each in group
        ]
        merged = histograms.merge(relabelled)
        found[name] = {
            f"{measure}_p{percent:g}_s": each.percentile(percent)
            for (measure, _, _), each in merged.items()
            for percent in PERCENTS
        }
    return found


def _spread(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    if not ordered:
        return {"p50": 0.0, "p95": 0.0, "p99": 0.0, "max": 0.0}
    last = len(ordered) - 1
    found = {
        f"p{percent:g}": ordered[round(percent / 100 * last)]
        for percent in PERCENTS
    }
    return {**found, "max": ordered[-1]}


def _target_met(
    rows: list[Document], first: dict[str, float], gaps: dict[str, float]
) -> bool:
    """Whether 95 in 100 are in time, a refused stream being late."""
    streams = [row for row in rows if row["operation"] is None]
    bad = sum(row["outcome"] != _load_calls.WHOLE for row in streams)
    allowed = (1 - TARGET_PERCENT / 100) * len(streams)
    in_time = first["p95"] <= FIRST_TOKEN_TARGET_S
    return in_time and gaps["p95"] <= GAP_TARGET_S and bad <= allowed


def _percentiles(rows: list[Document]) -> dict[tuple[str, str, str], float]:
    total = next(row for row in rows if row["record"] == "summary")
    measures = ("first_token_s", "between_tokens_s", "whole_s")
    found = {
        ("all", measure, name): value
        for measure in measures
        for name, value in total[measure].items()
    }
    for row in total["classes"]:
        for name, value in row.items():
            measure, _, percentile = name.removesuffix("_s").rpartition("_")
            if percentile.startswith("p") and name.endswith("_s"):
                key = (row["class"], f"{measure}_s", percentile)
                found[key] = value
    return found
