"""Whether a state folder serves: tried as a node would use it, and left as it was."""

import os
import time
from pathlib import Path

from marlseam.config import ConfigError, StoreSettings
from marlseam.store.folder import Disk, Folder, code_of, lock

TRIAL = "trial"


def test(settings: StoreSettings, node: str) -> None:
    """Lock the folder, write and sync a file in it, and read the state.

    Raise ConfigError with what is wrong.
    """
    path = Path(settings.folder)
    try:
        held = lock(path)
    except OSError as error:
        expected = f"a folder that this node alone may write ({code_of(error)}: {error.strerror})"
        raise ConfigError("store.folder", settings.folder, expected) from None
    disk = Disk(path)
    try:
        fd = disk.open(TRIAL)
        try:
            began = time.perf_counter()
            disk.write(fd, b"marlseam")
            disk.sync(fd)
            took = (time.perf_counter() - began) * 1000.0
        finally:
            disk.close(fd)
            disk.remove(TRIAL)
        folder = Folder(disk, node)
        state = folder.load(time.time() * 1000.0)
    except OSError as error:
        expected = f"a folder that can be written ({code_of(error)}: {error.strerror})"
        raise ConfigError("store.folder", settings.folder, expected) from None
    finally:
        os.close(held)
    listed = len(state.listed.rows) if state.listed else 0
    print(f"state in {path}: {listed} executors, {len(state.sent)} keys, a sync takes {took:.1f} ms")
    for finding in folder.findings:
        print(f"state file {finding.name or path} code={finding.code}: {finding.text}")
