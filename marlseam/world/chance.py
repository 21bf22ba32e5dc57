"""Chance of the world: numpy's counter-based Philox under a key made of the seed and a name.

Each thing that draws has a stream of its own, so that what one draws never moves what another does.
"""

from hashlib import blake2b

import numpy as np


def stream(seed: int, *names: object) -> np.random.Generator:
    """Return the stream of chance of something, the same in every process."""
    text = "/".join(str(part) for part in (seed, *names)).encode()
    key = np.frombuffer(blake2b(text, digest_size=16).digest(), dtype=np.uint64)
    return np.random.Generator(np.random.Philox(key=key))


def lognormal(chance: np.random.Generator, mean: float, cv: float, size: int) -> np.ndarray:
    """Draw log-normal sizes of some mean and coefficient of variation, shape (size,)."""
    if cv <= 0.0:
        return np.full(size, mean)
    sigma2 = np.log(1.0 + cv * cv)
    return chance.lognormal(np.log(mean) - sigma2 / 2.0, np.sqrt(sigma2), size)
