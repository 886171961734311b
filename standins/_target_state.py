"""The target state that orders set for an engine stand-in."""

import threading
import time
import typing


class TargetState:
    """The current target state and the highest fencing number applied.

    :param models: the models that are loaded at the start, before any order.
    """

    __slots__ = (
        "_lock",
        "_target",
        "_highest_fencing",
        "_applied_count",
        "_order_id",
        "_loaded_at",
    )

    def __init__(self, models: list[dict[str, typing.Any]]) -> None:
        self._lock = threading.Lock()
        self._target: dict[str, typing.Any] = {
            "models": models,
            "role": "serve",
        }
        self._highest_fencing = 0
        self._applied_count = 0
        self._order_id = ""
        self._loaded_at = 0.0

    @property
    def fencing(self) -> int:
        """The highest fencing number of the accepted orders; 0 without any."""
        return self._highest_fencing

    @property
    def role(self) -> str:
        """The target role: ``serve`` or ``drain``."""
        return self._target["role"]

    @property
    def models(self) -> list[dict[str, typing.Any]]:
        """The loaded models; empty while the models of an order load."""
        if time.monotonic() < self._loaded_at:
            return []
        return self._target["models"]

    def payload(self) -> dict[str, typing.Any]:
        """The current state, in the format of GET /v1/orders."""
        with self._lock:
            return {
                "target": self._target,
                "fencing": self._highest_fencing,
                "applied": self._applied_count,
                "order": self._order_id,
                "loading": time.monotonic() < self._loaded_at,
            }

    def apply_order(
        self, order: dict[str, typing.Any], fenced: bool, load_s: float
    ) -> bool:
        """Apply the target state of an order.

        An order that has the ID of the last applied order is accepted without
        being applied again.

        :param fenced: whether an order is refused if its fencing number is
            below the highest one.
        :param load_s: time in seconds that loading takes if the list of
            models changes.
        :returns: False if the order was refused.
        """
        with self._lock:
            if fenced and order["fencing"] < self._highest_fencing:
                return False
            self._highest_fencing = max(
                self._highest_fencing, order["fencing"]
            )
            if order["order"] == self._order_id:
                return True
            target = {"models": [], "role": "serve", **order["target"]}
            if target["models"] != self._target["models"]:
                self._loaded_at = time.monotonic() + load_s
            self._target = target
            self._order_id = order["order"]
            self._applied_count += 1
            return True
