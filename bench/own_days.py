"""Generates platform days with every variant of every fault.

``python -m bench own_days --out target/days --pair-rounds 3 --seed 1``

``bench/troubles.toml`` lists the kinds of faults and their variants. A day
has a few faults, one after the other. The first days have every variant once,
alone. Each round of pairs adds days that have every variant once, at the same
time as a variant of another kind.
"""

import argparse
import itertools
import json
import pathlib
import random
import tomllib
import typing

FAULTS_FILE = pathlib.Path(__file__).with_name("troubles.toml")
#: Seconds of traffic before the first fault; runners are ordered meanwhile.
FIRST_FAULT_AT_S = 3.0
#: Seconds between the starts of consecutive faults or pairs. The longest
#: fault lasts 7 s.
FAULT_INTERVAL_S = 7.5
#: Faults or pairs per day. The last one starts 6 s before the end of the
#: day's traffic.
FAULTS_PER_DAY = 6
#: The longest time between the starts of the two faults of a pair, in seconds.
PAIR_OFFSET_MAX_S = 2.0

Fault = dict[str, typing.Any]
#: A name, a seed and faults, in the format that the platform's tool reads.
Day = dict[str, typing.Any]
#: Faults that start at about the same time.
Group = tuple[Fault, ...]


def read_variants(path: pathlib.Path = FAULTS_FILE) -> list[Fault]:
    """Read every variant of every kind, complete except for the time."""
    document = tomllib.loads(path.read_text())
    return [
        {"kind": kind, **document["defaults"], **variant}
        for kind, variants in document["kinds"].items()
        for variant in variants
    ]


def make_single_days(variants: list[Fault], rng: random.Random) -> list[Day]:
    """Generate days of single faults; each variant occurs once."""
    shuffled = rng.sample(variants, len(variants))
    groups = [(fault,) for fault in shuffled]
    return _make_days("single", groups, rng)


def make_pair_days(variants: list[Fault], rng: random.Random) -> list[Day]:
    """Generate days of pairs of faults; each variant occurs once."""
    remaining = rng.sample(variants, len(variants))
    groups: list[Group] = []
    while remaining:
        first = remaining.pop()
        partner = next(
            (t for t in remaining if t["kind"] != first["kind"]), None
        )
        if partner is not None:
            remaining.remove(partner)
        groups.append((first,) if partner is None else (first, partner))
    return _make_days("pairs", groups, rng)


def format_day(day: Day) -> str:
    """Format a day as TOML, with one line per fault."""
    faults = "".join(f"  {_format_fault(fault)},\n" for fault in day["faults"])
    name, seed = json.dumps(day["name"]), day["seed"]
    return f"name = {name}\nseed = {seed}\nfaults = [\n{faults}]\n"


def run(arguments: list[str]) -> int:
    """Write the days to files.

    :returns: the exit code of the process.
    """
    parser = argparse.ArgumentParser(prog="own_days")
    parser.add_argument("--out", type=pathlib.Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pair-rounds", type=int, default=1)
    parsed = parser.parse_args(arguments)
    rng = random.Random(parsed.seed)
    variants = read_variants()
    days = make_single_days(variants, rng)
    for _ in range(parsed.pair_rounds):
        days += make_pair_days(variants, rng)
    parsed.out.mkdir(parents=True, exist_ok=True)
    for number, day in enumerate(days):
        name = f"{day['name']}-s{parsed.seed}-{number:03}"
        text = format_day({**day, "name": name})
        (parsed.out / f"{name}.toml").write_text(text)
    print(json.dumps({"variants": len(variants), "days": len(days)}))
    return 0


def _make_days(
    name: str, groups: list[Group], rng: random.Random
) -> list[Day]:
    return [
        {
            "name": name,
            "seed": rng.randrange(1 << 32),
            "faults": list(
                itertools.chain.from_iterable(
                    _schedule(
                        FIRST_FAULT_AT_S + FAULT_INTERVAL_S * position,
                        group,
                        rng,
                    )
                    for position, group in enumerate(batch)
                )
            ),
        }
        for batch in _split_into_days(groups)
    ]


def _split_into_days(groups: list[Group]) -> typing.Iterator[list[Group]]:
    starts = range(0, len(groups), FAULTS_PER_DAY)
    return (groups[start : start + FAULTS_PER_DAY] for start in starts)


def _schedule(
    at_s: float, group: Group, rng: random.Random
) -> typing.Iterator[Fault]:
    for position, fault in enumerate(group):
        offset_s = position * rng.uniform(0.0, PAIR_OFFSET_MAX_S)
        yield {**fault, "at": round(at_s + offset_s, 2)}


def _format_fault(fault: Fault) -> str:
    # The values are scalars, which have the same form in JSON and in TOML.
    fields = (f"{name} = {json.dumps(v)}" for name, v in fault.items())
    return f"{{ {', '.join(fields)} }}"
