"""A disk in memory that fails on demand."""

import os


class CrashError(Exception):
    """The simulated machine has crashed."""


class FaultyDisk:
    """A disk in memory: unsynced data may be lost, calls fail on demand, and the machine may crash.

    Attributes:
        visible: the parts written to each file by name, as the running system sees them.
        durable: as `visible`, of the names that survive a crash: those at the last sync of the directory.
        open_files: the parts of the file and the number of its synced bytes, by descriptor.
        budget: number of written bytes and modifying calls until the machine crashes.
        error: the error number with which each modifying call fails; None if calls succeed.

    """

    def __init__(self, budget=10**9):
        self.visible, self.durable, self.open_files = {}, {}, {}
        self.budget, self.error = budget, None

    def spend(self, count=1):
        """Deduct up to `count` from the budget and return the amount; raises OSError if `error` is set."""
        if self.error is not None:
            raise OSError(self.error, os.strerror(self.error))
        spent = min(count, self.budget)
        self.budget -= spent
        return spent

    def names(self):
        return list(self.visible)

    def read(self, name):
        return b"".join(self.visible[name])

    def open(self, name):
        if not self.spend():
            raise CrashError
        self.visible.setdefault(name, [])
        fd = len(self.open_files) + 1
        self.open_files[fd] = [self.visible[name], len(b"".join(self.visible[name]))]
        return fd

    def write(self, fd, data):
        written = self.spend(len(data))
        self.open_files[fd][0].append(data[:written])
        if written < len(data):
            raise CrashError
        return written

    def sync(self, fd):
        if not self.spend():
            raise CrashError
        self.open_files[fd][1] = len(b"".join(self.open_files[fd][0]))

    def close(self, fd):
        pass

    def rename(self, old, new):
        if not self.spend():
            raise CrashError
        self.visible[new] = self.visible.pop(old)

    def remove(self, name):
        if not self.spend():
            raise CrashError
        self.visible.pop(name, None)

    def sync_folder(self):
        if not self.spend():
            raise CrashError
        self.durable = dict(self.visible)

    def after_crash(self, torn=True):
        """Return the disk after a crash.

        If the crash is `torn`, names and bytes that were never synced are on the disk, else they are lost.
        """
        disk = FaultyDisk()
        for name, parts in (self.visible if torn else self.durable).items():
            data = b"".join(parts)
            synced = max([size for opened, size in self.open_files.values() if opened is parts], default=0)
            disk.visible[name] = [data if torn else data[:synced]]
        disk.durable = dict(disk.visible)
        return disk
