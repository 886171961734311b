"""The command line and the default faults of the engine stand-in."""

import argparse
import typing

from . import _batch_scheduler
from . import _server

DEFAULT_FAULTS: dict[str, typing.Any] = {
    "crash_on": "",
    "crash_after_tokens": 0,
    "slow": 1.0,
    "load_lag_s": 0.5,
    "events_lag_s": 0.5,
    "event_gap": 0.0,
    "fencing": True,
    "load_s": 0.0,
    "export_delay_s": 0.0,
    "export_fails": False,
    "import_fails": False,
    "fragile_rejections_per_s": None,
}


def argument_parser() -> argparse.ArgumentParser:
    """Make the parser of the command line."""
    parser = _server.argument_parser("model engine stand-in")
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--step-ms", type=float, default=15.0)
    parser.add_argument("--step-ms-per-sequence", type=float, default=0.3)
    parser.add_argument("--prefill-us-per-token", type=float, default=100.0)
    parser.add_argument("--prefill-chunk-tokens", type=int, default=256)
    parser.add_argument("--linger-s", type=float, default=10.0)
    parser.add_argument("--blocks", type=int, default=4096)
    parser.add_argument("--queue-limit", type=int, default=0)
    parser.add_argument("--load-lag-s", type=float, default=0.5)
    parser.add_argument("--events-lag-s", type=float, default=0.5)
    parser.add_argument("--event-gap", type=float, default=0.0)
    parser.add_argument("--fencing", choices=("on", "off"), default="on")
    parser.add_argument("--load-s", type=float, default=0.0)
    parser.add_argument("--models", default="", metavar="NAME:VERSION,...")
    parser.add_argument("--strict-models", action="store_true")
    parser.add_argument("--journal", default="", metavar="FILE")
    return parser


def scheduler_config(
    options: argparse.Namespace,
) -> _batch_scheduler.SchedulerConfig:
    """Make the scheduler's configuration from the parsed command line."""
    return _batch_scheduler.SchedulerConfig(
        options.slots,
        options.step_ms / 1e3,
        options.step_ms_per_sequence / 1e3,
        options.prefill_us_per_token / 1e6,
        options.prefill_chunk_tokens,
        options.linger_s,
    )
