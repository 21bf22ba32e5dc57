"""A byte buffer that grows as needed and is compacted in place."""

MAX_GROWTH = 4  # multiple of its first size that an empty buffer keeps


class Buffer:
    """Received bytes that were not consumed yet: appended at the end, taken from the front."""

    def __init__(self, size: int = 4096) -> None:
        self.bytes, self.size = bytearray(size), size
        self.start = self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    def reserve(self, min_bytes: int = 2048) -> memoryview:
        """Return writable space of at least `min_bytes`; call `commit` after writing into it."""
        if len(self.bytes) - self.end < min_bytes and self.start:
            self.bytes[: len(self)] = self.bytes[self.start : self.end]
            self.start, self.end = 0, len(self)
        if len(self.bytes) - self.end < min_bytes:
            self.bytes.extend(bytes(max(min_bytes, len(self.bytes))))
        return memoryview(self.bytes)[self.end :]

    def commit(self, count: int) -> None:
        """Append the first `count` bytes that were written into the space."""
        self.end += count

    def take(self, max_bytes: int) -> bytes:
        """Remove and return up to `max_bytes` from the front."""
        stop = min(self.end, self.start + max_bytes)
        with memoryview(self.bytes) as view:
            taken = bytes(view[self.start : stop])
        self.start = stop
        if self.start == self.end:
            self.start = self.end = 0
            if len(self.bytes) > MAX_GROWTH * self.size:
                self.bytes = bytearray(self.size)
        return taken
