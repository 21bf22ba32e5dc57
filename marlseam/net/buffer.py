"""A byte buffer that grows as needed and is compacted in place."""


class Buffer:
    """Bytes that came in and were not used yet: filled at the end, taken from the front."""

    def __init__(self, size: int = 4096) -> None:
        self.bytes = bytearray(size)
        self.start = self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    def space(self, least: int = 2048) -> memoryview:
        """Return room for at least so many bytes, to be filled and then noted by `added`."""
        if len(self.bytes) - self.end < least and self.start:
            self.bytes[: len(self)] = self.bytes[self.start : self.end]
            self.start, self.end = 0, len(self)
        if len(self.bytes) - self.end < least:
            self.bytes.extend(bytes(max(least, len(self.bytes))))
        return memoryview(self.bytes)[self.end :]

    def added(self, count: int) -> None:
        """Note that so many bytes were written into the room."""
        self.end += count

    def take(self, most: int) -> bytes:
        """Take up to so many bytes from the front."""
        stop = min(self.end, self.start + most)
        with memoryview(self.bytes) as view:
            taken = bytes(view[self.start : stop])
        self.start = stop
        if self.start == self.end:
            self.start = self.end = 0
        return taken
