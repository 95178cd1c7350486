"""Random streams by name: one seed gives every part of a run numbers of its own.

A part that draws more or fewer numbers than before leaves the others as they were, so that a change in one place of
a scenario does not shuffle the rest of it.
"""

from __future__ import annotations

import hashlib
import math
from bisect import bisect_right
from collections.abc import Callable, Sequence
from itertools import accumulate

import numpy as np


def random_stream(seed: int, *names: object) -> np.random.Generator:
    """The generator of this name, the same on every machine: PCG64 seeded by a digest of seed and names."""
    text = "\x1f".join(str(name) for name in (seed, *names))
    digest = hashlib.blake2b(text.encode(), digest_size=16).digest()
    return np.random.Generator(np.random.PCG64(int.from_bytes(digest, "big")))


def weighted_choice(
    rng: np.random.Generator, names: Sequence[str], share: Callable[[str], float] | None
) -> str:
    """One of these, each as likely as its share; as likely as any other where there are no shares."""
    place = float(rng.random())
    if share is None:
        return names[int(place * len(names))]
    sums = list(accumulate(share(name) for name in names))
    return names[min(len(names) - 1, bisect_right(sums, place * sums[-1]))]


def lognormal_factor(rng: np.random.Generator, cv: float) -> float:
    """A factor with mean 1 and this coefficient of variation."""
    if cv <= 0.0:
        return 1.0
    sigma = math.sqrt(math.log(1.0 + cv * cv))
    return float(rng.lognormal(-sigma * sigma / 2.0, sigma))
