"""Summarises a load run and compares two runs."""

import collections
import itertools
import json
import pathlib
import typing

from apricotlever import histograms

from . import _load_client
from . import _load_generator

PERCENTS = (50.0, 95.0, 99.0)
US_PER_S = 1_000_000
#: The users' targets, to be met by 95% of first tokens and of gaps.
FIRST_TOKEN_TARGET_S = 1.2
GAP_TARGET_S = 0.067
TARGET_PERCENT = 95.0
Document = dict[str, typing.Any]
Key = tuple[str, str, str]


class RunFileInvalid(Exception):
    """A file does not contain the records of a load run."""


def summarise(rows: list[Document], seconds: float) -> Document:
    """Summarise the requests of a run.

    :param rows: the records of the requests.
    :param seconds: how long requests were sent for.
    """
    recorded = _record_histograms(rows)
    outcomes = collections.Counter(row["outcome"] for row in rows)
    lags = _percentile_row([row["lag_s"] for row in rows])
    streams = [row for row in rows if row["first_token_s"] is not None]
    gaps = [us / US_PER_S for row in streams for us in row["gaps_us"]]
    first_tokens = _percentile_row([row["first_token_s"] for row in streams])
    between_tokens = _percentile_row(gaps)
    answered = [row for row in rows if row["outcome"] == _load_client.WHOLE]
    return {
        "record": "summary",
        "requests": len(rows),
        "per_s": round(len(rows) / seconds, 3),
        "outcomes": dict(outcomes),
        "tokens": sum(row["tokens"] for row in rows),
        "doubled_tokens": sum(row["doubled_tokens"] for row in rows),
        "first_token_s": first_tokens,
        "between_tokens_s": between_tokens,
        "whole_s": _percentile_row([row["whole_s"] for row in answered]),
        "classes": _class_rows(recorded, rows),
        "customers": _customer_rows(recorded),
        "generator_lag_s": lags,
        "generator_ok": lags["p99"] <= _load_generator.LAG_P99_MAX_S,
        "target_met": _target_met(rows, first_tokens, between_tokens),
        "histograms": recorded.encoded(),
    }


def write_records(rows: list[Document], path: pathlib.Path) -> None:
    """Write records as JSON, one object per line."""
    text = "".join(json.dumps(row) + "\n" for row in rows)
    path.write_text(text)


def read_records(path: str) -> list[Document]:
    """Read the records of a run.

    :raises RunFileInvalid: if the file cannot be read, is not JSON or has no
        summary.
    """
    try:
        content = pathlib.Path(path).read_text()
        rows = [json.loads(line) for line in content.splitlines()]
    except (OSError, ValueError) as error:
        raise RunFileInvalid(f"{path}: {error}") from error
    if not any(row.get("record") == "summary" for row in rows):
        raise RunFileInvalid(f"{path}: the summary record is missing")
    return rows


def compare_latencies(
    before: list[Document], after: list[Document]
) -> list[Document]:
    """Compare the latencies of two runs.

    :param before: the records of the first run.
    :param after: the records of the second run.
    :returns: a row for each class, measure and percentile that both runs
        have.
    """
    old = _percentiles_of_run(before)
    new = _percentiles_of_run(after)
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


def compare_outcomes(
    before: list[Document], after: list[Document]
) -> list[Document]:
    """Compare how many requests of two runs had each outcome."""
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


def _record_histograms(rows: list[Document]) -> histograms.Histograms:
    recorded = histograms.Histograms()
    for row in rows:
        labels = (row["customer"], row["class"])
        if row["first_token_s"] is not None:
            recorded.record(
                histograms.FIRST_TOKEN, *labels, row["first_token_s"]
            )
        if row["outcome"] == _load_client.WHOLE:
            recorded.record(histograms.WHOLE_ANSWER, *labels, row["whole_s"])
        distribution = recorded.distribution(
            histograms.BETWEEN_TOKENS, *labels
        )
        for gap_us in row["gaps_us"]:
            distribution.record_us(gap_us)
    return recorded


def _class_rows(
    recorded: histograms.Histograms, rows: list[Document]
) -> list[Document]:
    """Make a row with outcomes and percentiles for each class."""
    outcomes: dict[str, collections.Counter[str]] = {}
    for row in rows:
        counter = outcomes.setdefault(row["class"], collections.Counter())
        counter[row["outcome"]] += 1
    percentiles = _percentiles_by(recorded, lambda each: each.service_class)
    return [
        {"class": name, **dict(outcomes.get(name, {})), **measures}
        for name, measures in percentiles.items()
    ]


def _customer_rows(recorded: histograms.Histograms) -> list[Document]:
    percentiles = _percentiles_by(recorded, lambda each: each.customer)
    return [{"customer": name, **rest} for name, rest in percentiles.items()]


def _percentiles_by(
    recorded: histograms.Histograms,
    name_of: typing.Callable[[histograms.Distribution], str],
) -> dict[str, Document]:
    """Compute the percentiles of each measure by class or customer.

    :param name_of: returns the name by which distributions are merged.
    """
    ordered = sorted(recorded.distributions(), key=name_of)
    percentiles = {}
    for name, group in itertools.groupby(ordered, name_of):
        unlabelled = [
            {**each.encoded, "customer": "", "class": ""} for each in group
        ]
        merged = histograms.merge(unlabelled)
        percentiles[name] = {
            f"{measure}_p{percent:g}_s": each.percentile(percent)
            for (measure, _, _), each in merged.items()
            for percent in PERCENTS
        }
    return percentiles


def _percentile_row(values: list[float]) -> dict[str, float]:
    ordered = sorted(values)
    if not ordered:
        return {"p50": 0.0, "p95": 0.0, "p99": 0.0, "max": 0.0}
    last = len(ordered) - 1
    percentiles = {
        f"p{percent:g}": ordered[round(percent / 100 * last)]
        for percent in PERCENTS
    }
    return {**percentiles, "max": ordered[-1]}


def _target_met(
    rows: list[Document],
    first_tokens: dict[str, float],
    gaps: dict[str, float],
) -> bool:
    """Whether the 95th percentiles met the targets.

    At most 5% of the streams may have been refused or have failed.
    """
    streams = [row for row in rows if row["operation"] is None]
    not_answered = sum(row["outcome"] != _load_client.WHOLE for row in streams)
    allowed = (1 - TARGET_PERCENT / 100) * len(streams)
    in_time = first_tokens["p95"] <= FIRST_TOKEN_TARGET_S
    return in_time and gaps["p95"] <= GAP_TARGET_S and not_answered <= allowed


def _percentiles_of_run(
    rows: list[Document],
) -> dict[tuple[str, str, str], float]:
    total = next(row for row in rows if row["record"] == "summary")
    measures = ("first_token_s", "between_tokens_s", "whole_s")
    percentiles = {
        ("all", measure, name): value
        for measure in measures
        for name, value in total[measure].items()
    }
    for row in total["classes"]:
        for name, value in row.items():
            measure, _, percentile = name.removesuffix("_s").rpartition("_")
            if percentile.startswith("p") and name.endswith("_s"):
                key = (row["class"], f"{measure}_s", percentile)
                percentiles[key] = value
    return percentiles
