"""Reproducible random numbers: CRC-32 over a seed and a counter, then a step that is not linear.

CRC-32 alone is linear: what two texts of one length differ in gives the same pattern of bits in all their
numbers, so neighbouring seeds would draw alike, and a draw would predict the next. Source of the step:
fmix32, the finaliser of MurmurHash3 (Austin Appleby, 2011, public domain). It is one to one and flips each
bit of what comes out with a probability near one half for each bit that goes in.
"""

from zlib import crc32

MASK_32_BITS = 0xFFFFFFFF


def number(text: bytes, crc: int = 0) -> int:
    """Return the whole number in [0, 2**32) that belongs to a text, or to one that goes on after a CRC."""
    mixed = crc32(text, crc)
    mixed = ((mixed ^ mixed >> 16) * 0x85EBCA6B) & MASK_32_BITS
    mixed = ((mixed ^ mixed >> 13) * 0xC2B2AE35) & MASK_32_BITS
    return mixed ^ mixed >> 16


class RandomSource:
    """A sequence of random numbers of its own for each seed.

    Attributes:
        crc: the CRC-32 of the seed's text.
        draws: how many numbers were drawn.
    """

    __slots__ = ("crc", "draws")

    def __init__(self, seed: object) -> None:
        self.crc, self.draws = crc32(b"%s:" % str(seed).encode()), 0

    def __call__(self) -> float:
        """Return the next number in [0, 1)."""
        self.draws += 1
        return number(b"%d" % self.draws, self.crc) / 2.0**32
