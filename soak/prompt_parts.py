"""Names of prompt parts in a soak test.

A bad part is one of the first parts of a call's prompt, on which each runner
crashes that begins to answer. Other parts of such calls are those of sound
ones.
"""

#: Prefix of the names of bad parts.
BAD_PREFIX = "bad"
#: A part that all calls with parts share.
COMMON_PART = "00aa"
#: How long a crashed runner refuses connections, in seconds.
DOWN_S = 1.0
#: Suffix of the file, beside the runners' record, by which a runner that
#: crashes learns that nothing connects to it any longer.
DOWN_SUFFIX = ".down"


def find_bad(parts: str) -> str:
    """The bad part among a prompt's parts; "" for none.

    :param parts: the names, separated by commas; the last one is never bad.
    """
    bad = (p for p in parts.split(",")[:-1] if p.startswith(BAD_PREFIX))
    return next(bad, "")
