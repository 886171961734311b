"""Client of the platform's rate-limited weight store."""

import typing
import urllib.parse

from . import _platform_http
from . import platform_errors

Json = typing.Any


class WeightStore(_platform_http.Service):
    """Paces the loading of models; engines fetch the weights themselves.

    :param url: where the weight store is.
    :param timeout_s: for each call.
    """

    __slots__ = ()

    def lease(
        self, model: str, version: str
    ) -> platform_errors.Outcome[float]:
        """Ask for a turn to load a model.

        :returns: how many seconds the turn lasts, or ``Throttled``.
        """
        body = {"model": model, "version": version}
        return self._write("POST", "/v1/leases", body, _seconds)

    def exists(
        self, model: str, version: str
    ) -> platform_errors.Outcome[None]:
        """Ask whether a model's weights are there.

        :returns: None, or ``NotFound``, ``Throttled``.
        """
        named = (
            urllib.parse.quote(part, safe="") for part in (model, version)
        )
        path = "/v1/weights/" + "/".join(named) + "?bytes_only=1"
        return self._read(path, lambda _: None)


def _seconds(document: Json) -> float:
    return float(document["seconds"])
