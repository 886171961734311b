"""The settings of an entry VM, read from a JSON file and validated."""

import collections.abc
import pathlib
import typing

from . import addresses
from . import documents
from . import timing

Json = typing.Any

SCHEMA_NAME = "settings.schema.json"
DEFAULT_REGION = "default"
DEFAULT_LOG_LEVEL = "info"

Address = addresses.Address
Sizes = timing.Sizes
Timing = timing.Timing

_SCHEMA = documents.load_schema("apricotlever", SCHEMA_NAME)


class SettingsInvalid(documents.DocumentInvalid):
    """The settings are invalid; the process must not start with them."""

    def __init__(
        self, faults: collections.abc.Sequence[documents.Fault]
    ) -> None:
        super().__init__("settings", faults)


class Seed:
    """An entry VM that this VM contacts to join the fleet.

    :param vm: the name of the VM.
    :param address: its address for other entry VMs.
    """

    __slots__ = ("vm", "address")

    def __init__(self, vm: str, address: Address) -> None:
        self.vm = vm
        self.address = address


class PlatformUrls:
    """The URLs of the platform's services.

    :param objects: URL of the object API.
    :param cloud: URL of the cloud API.
    :param weights: URL of the weight store.
    """

    __slots__ = ("objects", "cloud", "weights")

    def __init__(self, objects: str, cloud: str, weights: str) -> None:
        self.objects = objects
        self.cloud = cloud
        self.weights = weights


class Settings:
    """All settings of one entry VM.

    :param vm: the name of this VM.
    :param data_centre: the data centre in which this VM runs.
    :param callers: the listening address for callers.
    :param peers: the listening address for other entry VMs.
    :param platform: the URLs of the platform's services.
    :param region: the region of the data centre.
    :param seeds: entry VMs to contact to join the fleet.
    :param statsd: the statsd server for metrics; None to send no metrics.
    :param log_level: ``debug``, ``info``, ``warning`` or ``error``.
    :param operator_key_sha256: the hex SHA-256 of the key that operators'
        pages require; None opens the pages to everyone who can reach the
        port.
    :param timing: intervals and timeouts; the defaults when None.
    :param sizes: sizes and rates; the defaults when None.
    """

    __slots__ = (
        "vm",
        "data_centre",
        "region",
        "callers",
        "peers",
        "platform",
        "seeds",
        "statsd",
        "log_level",
        "operator_key_sha256",
        "timing",
        "sizes",
    )

    def __init__(
        self,
        vm: str,
        data_centre: str,
        callers: Address,
        peers: Address,
        platform: PlatformUrls,
        region: str = DEFAULT_REGION,
        seeds: tuple[Seed, ...] = (),
        statsd: Address | None = None,
        log_level: str = DEFAULT_LOG_LEVEL,
        operator_key_sha256: str | None = None,
        timing: Timing | None = None,
        sizes: Sizes | None = None,
    ) -> None:
        self.vm = vm
        self.data_centre = data_centre
        self.region = region
        self.callers = callers
        self.peers = peers
        self.platform = platform
        self.seeds = seeds
        self.statsd = statsd
        self.log_level = log_level
        self.operator_key_sha256 = operator_key_sha256
        self.timing = timing or Timing()
        self.sizes = sizes or Sizes()


def load(path: str | pathlib.Path) -> Settings:
    """Read and validate a settings file.

    :param path: the path of a JSON file.
    :raises SettingsInvalid: if the file can't be read, is not JSON or has
        invalid fields; names the fields.
    """
    try:
        document = documents.loads(pathlib.Path(path).read_bytes())
    except (OSError, documents.NotJson) as error:
        fault = documents.Fault(str(path), str(error), "a readable JSON file")
        raise SettingsInvalid([fault]) from error
    return parse(document)


def parse(document: Json) -> Settings:
    """Validate a settings document and convert it to :class:`Settings`.

    :param document: parsed JSON.
    :raises SettingsInvalid: if fields are invalid; names the fields.
    """
    faults = documents.find_faults(document, _SCHEMA)
    faults = faults or _address_faults(document)
    if faults:
        raise SettingsInvalid(faults)
    statsd = document.get("statsd")
    return Settings(
        vm=document["vm"],
        data_centre=document["data_centre"],
        region=document.get("region", DEFAULT_REGION),
        callers=Address.from_text(document["callers"]),
        peers=Address.from_text(document["peers"]),
        platform=PlatformUrls(**document["platform"]),
        seeds=tuple(map(_parse_seed, document.get("seeds", ()))),
        statsd=Address.from_text(statsd) if statsd else None,
        log_level=document.get("log_level", DEFAULT_LOG_LEVEL),
        operator_key_sha256=document.get("operator_key_sha256"),
        timing=Timing(**document.get("timing", {})),
        sizes=Sizes(**document.get("sizes", {})),
    )


def _parse_seed(value: Json) -> Seed:
    return Seed(value["vm"], Address.from_text(value["address"]))


def _address_faults(document: Json) -> list[documents.Fault]:
    named = {name: document.get(name) for name in _ADDRESS_FIELDS}
    named |= {
        f"seeds.{i}.address": seed["address"]
        for i, seed in enumerate(document.get("seeds", ()))
    }
    return [
        documents.Fault(field, text, "an IP address and a port up to 65535")
        for field, text in named.items()
        if text is not None and not _is_address(text)
    ]


_ADDRESS_FIELDS = ("callers", "peers", "statsd")


def _is_address(text: str) -> bool:
    try:
        Address.from_text(text)
    except ValueError:
        return False
    return True
