"""Reproducible random numbers: CRC-32 over a seed and a counter, followed by a non-linear finaliser.

CRC-32 alone is linear: a given difference between two texts of equal length always gives the same difference
between their checksums, so adjacent seeds would give correlated sequences, and a number would predict the
next one. The finaliser is fmix32 of MurmurHash3 (Austin Appleby, 2011, public domain). It is a bijection, and
flipping one input bit flips each output bit with a probability near one half.
"""

from zlib import crc32

MASK_32_BITS = 0xFFFFFFFF


def number(text: bytes, crc: int = 0) -> int:
    """Return a hash in [0, 2**32) of a text, or, given the CRC-32 of a prefix, of prefix and text."""
    mixed = crc32(text, crc)
    mixed = ((mixed ^ mixed >> 16) * 0x85EBCA6B) & MASK_32_BITS
    mixed = ((mixed ^ mixed >> 13) * 0xC2B2AE35) & MASK_32_BITS
    return mixed ^ mixed >> 16


class RandomSource:
    """A sequence of random numbers determined by a seed.

    Attributes:
        crc: the CRC-32 of the text of the seed.
        draws: how many numbers have been drawn.
    """

    __slots__ = ("crc", "draws")

    def __init__(self, seed: object) -> None:
        self.crc, self.draws = crc32(b"%s:" % str(seed).encode()), 0

    def __call__(self) -> float:
        """Return the next number in [0, 1)."""
        self.draws += 1
        return number(b"%d" % self.draws, self.crc) / 2.0**32
