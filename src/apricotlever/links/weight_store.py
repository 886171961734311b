"""Client of the platform's weight store, which holds models' weights.

The store limits the rate of its calls. A lease permits loading a model.
"""

import typing
import urllib.parse

from . import _platform_client
from . import platform_errors

Json = typing.Any


class WeightStore(_platform_client.PlatformClient):
    """Grants leases for loading models and tells which weights exist.

    The engines fetch the weights themselves.

    :param url: base URL of the weight store.
    :param timeout_s: limit in seconds for each call.
    """

    __slots__ = ()

    def lease(
        self, model: str, version: str
    ) -> platform_errors.Outcome[float]:
        """Request a lease to load a model.

        :param model: the model's name.
        :param version: the model's version.
        :returns: the duration of the lease in seconds, or ``Throttled``.
        """
        body = {"model": model, "version": version}
        return self._write("POST", "/v1/leases", body, _lease_duration_s)

    def exists(
        self, model: str, version: str
    ) -> platform_errors.Outcome[None]:
        """Check whether the weights of a model exist.

        :param model: the model's name.
        :param version: the model's version.
        :returns: None, or ``NotFound``, ``Throttled``.
        """
        named = (
            urllib.parse.quote(part, safe="") for part in (model, version)
        )
        path = "/v1/weights/" + "/".join(named) + "?bytes_only=1"
        return self._read(path, lambda _: None)


def _lease_duration_s(document: Json) -> float:
    return float(document["seconds"])
