"""Named random streams, independent of each other and derived from one seed.

A change of a scenario that draws more or fewer numbers from one stream does not change the other streams. Renaming a
stream changes its numbers.
"""

from __future__ import annotations

import hashlib
import math
from bisect import bisect_right
from collections.abc import Callable, Sequence
from itertools import accumulate

import numpy as np

from rosewheel.lab.tables import Range

NAME_SEPARATOR = "\x1f"
DIGEST_BYTES = 16


def random_stream(seed: int, *names: object) -> np.random.Generator:
    """Return a PCG64 generator seeded with a digest of seed and names, the same on every machine."""
    text = NAME_SEPARATOR.join(str(name) for name in (seed, *names))
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return np.random.Generator(np.random.PCG64(int.from_bytes(digest, "big")))


def draw_range(value: Range, seed: int, *names: object) -> float:
    """Return a uniform draw from a range by the stream of these names; a single number is returned unchanged."""
    if not isinstance(value, tuple):
        return float(value)
    return float(random_stream(seed, *names).uniform(value[0], value[1]))


def weighted_choice(
    rng: np.random.Generator, names: Sequence[str], weight: Callable[[str], float] | None
) -> str:
    """Return a random name with a probability proportional to its weight; uniform without weights."""
    position = float(rng.random())
    if weight is None:
        return names[int(position * len(names))]
    sums = list(accumulate(weight(name) for name in names))
    return names[min(len(names) - 1, bisect_right(sums, position * sums[-1]))]


def lognormal_factor(rng: np.random.Generator, cv: float) -> float:
    """Return a lognormal factor with mean 1 and this coefficient of variation."""
    if cv <= 0.0:
        return 1.0
    sigma = math.sqrt(math.log(1.0 + cv * cv))
    return float(rng.lognormal(-sigma * sigma / 2.0, sigma))
