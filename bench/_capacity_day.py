"""Generates a seeded day of prices, demand, reclaim waves and refusals."""

import math
import random

from apricotlever.data_centres import model

DATA_CENTRES = ("sala-a", "sala-b", "sala-c")
MACHINE = "large"
STEP_S = 10.0
DAY_S = 24 * 3600.0
HOUR_S = 3600.0
VM_START_S = 120.0
MODEL_LOAD_S = 60.0
NOTICE_S = 30.0
SLOTS_PER_RUNNER = 16
SERVICE_S = 4.0
WAIT_TARGET_S = 0.8
PEAK_RATE_PER_S = 60.0
NIGHT_RATE_PER_S = 8.0
ON_DEMAND_PRICE_PER_HOUR = 3.0
RECLAIMABLE_PRICE_PER_HOUR = 1.0
WAVES_PER_DAY = 4
WAVE_SHARES = (0.3, 0.6, 1.0, 1.0)
REFUSAL_DURATIONS_S = (300.0, 900.0, 1800.0)
FLASH_CROWDS = 2


class ReclaimWave:
    """One reclaim of a share of a data centre's reclaimable VMs.

    :param at: seconds since the start of the day.
    :param refused_s: how long starts are refused afterwards, in seconds.
    """

    def __init__(
        self, at: float, data_centre: str, share: float, refused_s: float
    ) -> None:
        self.at = at
        self.data_centre = data_centre
        self.share = share
        self.refused_s = refused_s


class Day:
    """The events of one day, which are the same for all rules.

    :param seed: the seed of prices, reclaim waves, flash crowds and noise.
    """

    def __init__(self, seed: int) -> None:
        rng = random.Random(seed)
        self.places = [
            model.Place(data_centre, MACHINE, market)
            for data_centre in DATA_CENTRES
            for market in model.Market
        ]
        self._hourly_factors = {
            place: [rng.uniform(0.7, 1.4) for _ in range(25)]
            for place in self.places
        }
        self.waves = sorted(
            (
                ReclaimWave(
                    rng.uniform(0.35, 0.75) * DAY_S,
                    rng.choice(DATA_CENTRES),
                    rng.choice(WAVE_SHARES),
                    rng.choice(REFUSAL_DURATIONS_S),
                )
                for _ in range(WAVES_PER_DAY)
            ),
            key=lambda wave: wave.at,
        )
        self._crowd_times = [
            rng.uniform(0.3, 0.8) * DAY_S for _ in range(FLASH_CROWDS)
        ]
        self._noise_factors = [
            rng.gauss(1.0, 0.04) for _ in range(int(DAY_S / STEP_S) + 1)
        ]

    def rate(self, now: float) -> float:
        """The arrival rate per second."""
        daily_share = math.sin(math.pi * now / DAY_S) ** 2
        base = (
            NIGHT_RATE_PER_S
            + (PEAK_RATE_PER_S - NIGHT_RATE_PER_S) * daily_share
        )
        in_crowd = any(0 <= now - at < 900 for at in self._crowd_times)
        noise = self._noise_factors[int(now / STEP_S)]
        return base * (1.25 if in_crowd else 1.0) * noise

    def price(self, place: model.Place, now: float) -> float:
        """The price per hour; it changes every hour."""
        factor = self._hourly_factors[place][int(now / HOUR_S)]
        if place.market is model.Market.ON_DEMAND:
            return ON_DEMAND_PRICE_PER_HOUR * (0.95 + 0.05 * factor)
        return RECLAIMABLE_PRICE_PER_HOUR * factor

    def refuses(self, place: model.Place, now: float) -> bool:
        """Whether the start of a VM is refused.

        After a wave the data centre that reclaimed VMs refuses all starts
        for ``refused_s``. For the first third of that time, all data centres
        refuse starts of reclaimable VMs.
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
