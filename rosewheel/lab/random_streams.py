"""Named random streams: one seed gives every part of a run random numbers of its own.

A part that draws more or fewer numbers than before leaves the others as they were, so a change in one place of a
scenario does not shuffle the rest. The names of the streams are part of what a seed means: a renamed stream draws
other numbers.
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
    """The generator of this name, the same on every machine: PCG64 seeded by a digest of seed and names."""
    text = NAME_SEPARATOR.join(str(name) for name in (seed, *names))
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()
    return np.random.Generator(np.random.PCG64(int.from_bytes(digest, "big")))


def draw_range(value: Range, seed: int, *names: object) -> float:
    """A uniform draw from a range by the stream of this name; a single number as it is."""
    if not isinstance(value, tuple):
        return float(value)
    return float(random_stream(seed, *names).uniform(value[0], value[1]))


def weighted_choice(
    rng: np.random.Generator, names: Sequence[str], weight: Callable[[str], float] | None
) -> str:
    """One of the names by its weight; without weights each is as likely as any other."""
    position = float(rng.random())
    if weight is None:
        return names[int(position * len(names))]
    sums = list(accumulate(weight(name) for name in names))
    return names[min(len(names) - 1, bisect_right(sums, position * sums[-1]))]


def lognormal_factor(rng: np.random.Generator, cv: float) -> float:
    """A lognormal factor with mean 1 and this coefficient of variation."""
    if cv <= 0.0:
        return 1.0
    sigma = math.sqrt(math.log(1.0 + cv * cv))
    return float(rng.lognormal(-sigma * sigma / 2.0, sigma))
