"""The system calls on a directory of the store, and the directory's lock."""

import errno
import fcntl
import os
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

LOCK_FILE = "lock"


class FileIdentity(NamedTuple):
    """Metadata that identifies a file and its last change.

    Attributes:
        inode: the file's inode number.
        changed_ms: when the file's content or inode was last changed (Unix ms).
    """

    inode: int
    changed_ms: float


class Disk:
    """The system calls on the files of one directory; tests replace it by a disk that fails.

    Each method raises OSError where its system call fails.
    """

    def __init__(self, path: Path) -> None:
        self.path = path

    def names(self) -> list[str]:
        """Return the names of the directory's files."""
        return os.listdir(self.path)

    def read(self, name: str) -> bytes:
        """Return a file's bytes."""
        return (self.path / name).read_bytes()

    def open(self, name: str) -> int:
        """Open a file for appending, created if it does not exist; return its descriptor."""
        return os.open(self.path / name, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def write(self, descriptor: int, data: bytes) -> int:
        """Append bytes; return how many were written, which may be fewer."""
        return os.write(descriptor, data)

    def sync(self, descriptor: int) -> None:
        """Flush a file's bytes to the disk."""
        os.fdatasync(descriptor)

    def close(self, descriptor: int) -> None:
        """Close a file."""
        os.close(descriptor)

    def identity(self, name: str) -> FileIdentity:
        """Return a file's inode number and the time of its last change."""
        status = os.stat(self.path / name)
        return FileIdentity(status.st_ino, status.st_ctime_ns / 1e6)

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""
        os.rename(self.path / old, self.path / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        os.unlink(self.path / name)

    def sync_folder(self) -> None:
        """Flush the directory's names to the disk."""
        descriptor = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def write_all(disk: Disk, descriptor: int, data: bytes) -> None:
    """Append all bytes to a file; raises OSError, with ENOSPC if the disk takes no more."""
    view = memoryview(data)
    while view:
        count = disk.write(descriptor, bytes(view))
        if not count:
            raise OSError(errno.ENOSPC, "write returned 0 bytes")
        view = view[count:]


def lock_directory(path: Path) -> int:
    """Lock a directory, created if it does not exist; return the lock's descriptor, whose closing unlocks.

    Raises OSError, with EAGAIN if another process has the lock.
    """
    path.mkdir(parents=True, exist_ok=True, mode=0o700)
    descriptor = os.open(path / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise
    return descriptor


@contextmanager
def directory_lock(path: Path) -> Iterator[None]:
    """Hold a directory's lock during a block; raises OSError as `lock_directory` does."""
    descriptor = lock_directory(path)
    try:
        yield
    finally:
        os.close(descriptor)
