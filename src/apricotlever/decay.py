"""Exponential decay of the weight of observations."""


def decay_factor(elapsed_s: float, half_life_s: float) -> float:
    """The factor by which a weight falls in some time; at most 1.

    :param elapsed_s: seconds; negative ones count as 0.
    :param half_life_s: seconds after which the weight has halved.
    """
    return 0.5 ** (max(0.0, elapsed_s) / half_life_s)
