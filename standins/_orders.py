"""Orders to an engine stand-in: a target state under a fencing number."""

import threading
import time
import typing


class Orders:
    """The target state in force and the highest fencing number seen.

    :param models: loaded at the start, without an order.
    """

    __slots__ = (
        "_lock",
        "_target",
        "_fencing",
        "_applied",
        "_order",
        "_loaded_at",
    )

    def __init__(self, models: list[dict[str, typing.Any]]) -> None:
        self._lock = threading.Lock()
        self._target: dict[str, typing.Any] = {
            "models": models,
            "role": "serve",
        }
        self._fencing = 0
        self._applied = 0
        self._order = ""
        self._loaded_at = 0.0

    @property
    def fencing(self) -> int:
        """The highest fencing number that an applied order carried."""
        return self._fencing

    @property
    def role(self) -> str:
        """``serve`` or ``drain``."""
        return self._target["role"]

    @property
    def models(self) -> list[dict[str, typing.Any]]:
        """The models that are loaded; none while an order loads them."""
        if time.monotonic() < self._loaded_at:
            return []
        return self._target["models"]

    def payload(self) -> dict[str, typing.Any]:
        """What is in force, as GET /v1/orders answers it."""
        with self._lock:
            return {
                "target": self._target,
                "fencing": self._fencing,
                "applied": self._applied,
                "order": self._order,
                "loading": time.monotonic() < self._loaded_at,
            }

    def apply(
        self, order: dict[str, typing.Any], fenced: bool, load_s: float
    ) -> bool:
        """Enter an order's target state.

        :param fenced: whether an older fencing number is refused.
        :param load_s: how long models that were not loaded take.
        :returns: False if the order was refused.
        """
        with self._lock:
            if fenced and order["fencing"] < self._fencing:
                return False
            self._fencing = max(self._fencing, order["fencing"])
            if order["order"] == self._order:
                return True
            target = {"models": [], "role": "serve", **order["target"]}
            if target["models"] != self._target["models"]:
                self._loaded_at = time.monotonic() + load_s
            self._target = target
            self._order = order["order"]
            self._applied += 1
            return True
