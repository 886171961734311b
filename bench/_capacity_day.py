"""A seeded day of prices, demand, reclaim waves and refused starts."""

import math
import random

from apricotlever.data_centres import model

DATA_CENTRES = ("sala-a", "sala-b", "sala-c")
MACHINE = "large"
STEP_S = 10.0
DAY_S = 24 * 3600.0
HOUR_S = 3600.0
START_S = 120.0
LOAD_S = 60.0
NOTICE_S = 30.0
SLOTS = 16
SERVICE_S = 4.0
WAIT_S = 0.8
PEAK_PER_S = 60.0
NIGHT_PER_S = 8.0
ON_DEMAND_PER_HOUR = 3.0
RECLAIMABLE_PER_HOUR = 1.0
WAVES_A_DAY = 4
WAVE_SHARES = (0.3, 0.6, 1.0, 1.0)
REFUSED_S = (300.0, 900.0, 1800.0)
FLASH_CROWDS = 2


class Wave:
    """A data centre takes back a share of its reclaimable VMs."""

    def __init__(
        self, at: float, data_centre: str, share: float, refused_s: float
    ) -> None:
        self.at = at
        self.data_centre = data_centre
        self.share = share
        self.refused_s = refused_s


class Day:
    """The tables of one day; all rules live through the same ones.

    :param seed: of prices, waves and crowds.
    """

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.places = [
            model.Place(data_centre, MACHINE, market)
            for data_centre in DATA_CENTRES
            for market in model.Market
        ]
        self._hourly = {
            place: [rng.uniform(0.7, 1.4) for _ in range(25)]
            for place in self.places
        }
        self.waves = sorted(
            (
                Wave(
                    rng.uniform(0.35, 0.75) * DAY_S,
                    rng.choice(DATA_CENTRES),
                    rng.choice(WAVE_SHARES),
                    rng.choice(REFUSED_S),
                )
                for _ in range(WAVES_A_DAY)
            ),
            key=lambda wave: wave.at,
        )
        self._crowds = [
            rng.uniform(0.3, 0.8) * DAY_S for _ in range(FLASH_CROWDS)
        ]
        self._noise = [
            rng.gauss(1.0, 0.04) for _ in range(int(DAY_S / STEP_S) + 1)
        ]

    def rate(self, now: float) -> float:
        """Arrivals a second."""
        turn = math.sin(math.pi * now / DAY_S) ** 2
        base = NIGHT_PER_S + (PEAK_PER_S - NIGHT_PER_S) * turn
        crowded = any(0 <= now - at < 900 for at in self._crowds)
        noise = self._noise[int(now / STEP_S)]
        return base * (1.25 if crowded else 1.0) * noise

    def price(self, place: model.Place, now: float) -> float:
        """The price an hour, which changes by the hour."""
        factor = self._hourly[place][int(now / HOUR_S)]
        if place.market is model.Market.ON_DEMAND:
            return ON_DEMAND_PER_HOUR * (0.95 + 0.05 * factor)
        return RECLAIMABLE_PER_HOUR * factor

    def refuses(self, place: model.Place, now: float) -> bool:
        """Whether a start is refused.

        The data centre that takes back sells nothing for a while, and
        reclaimable VMs are short everywhere for a third of that time.
        """
        return any(
            0 <= now - wave.at < wave.refused_s
            and (
                place.data_centre == wave.data_centre
                or (
                    place.market is model.Market.RECLAIMABLE
                    and now - wave.at < wave.refused_s / 3
                )
            )
            for wave in self.waves
        )
