"""Random streams of the simulation: numpy's counter-based Philox generator, keyed by the seed and a name.

Each part that draws has its own stream, so that the draws of one part never change those of another.
"""

from hashlib import blake2b

import numpy as np
from numpy.typing import NDArray


def random_stream(seed: int, *names: object) -> np.random.Generator:
    """Return the random stream of a seed and name; the same in every process."""
    text = "/".join(str(part) for part in (seed, *names)).encode()
    key = np.frombuffer(blake2b(text, digest_size=16).digest(), dtype=np.uint64)
    return np.random.Generator(np.random.Philox(key=key))


def lognormal(rng: np.random.Generator, mean: float, variation: float, size: int) -> NDArray[np.float64]:
    """Draw log-normal numbers by mean and coefficient of variation (0: the mean itself), shape (size,)."""
    if variation <= 0.0:
        return np.full(size, mean)
    variance_of_log = np.log(1.0 + variation * variation)
    return rng.lognormal(np.log(mean) - variance_of_log / 2.0, np.sqrt(variance_of_log), size)
