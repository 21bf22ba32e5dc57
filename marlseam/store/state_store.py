"""The node's store: reads it, at the start or as soon as it can be had, and has entries written.

Where the disk does not serve, what needs a record is not sent (`scribe`).
"""

import gc
from collections.abc import Callable
from pathlib import Path

from marlseam.configuration import StoreSettings
from marlseam.net.connection import Steps
from marlseam.net.log import Log
from marlseam.net.loop import Coroutine, Loop, sleep
from marlseam.store import file_format as form
from marlseam.store.file_format import StateRecord
from marlseam.store.log_writer_client import LogWriterClient
from marlseam.store.node_state import NodeState
from marlseam.store.state_directory import Disk, StateDirectory, code_of, unix_ms
from marlseam.store.writer_process import APPEND

PIECE_MS = 5.0  # of a turn that reading may take


class StateStore(LogWriterClient):
    """A node's durable state; `take_in` is what the node does with what a later reading finds."""

    def __init__(
        self, loop: Loop, log: Log, settings: StoreSettings, node: str, take_in: Callable[[NodeState], Steps]
    ) -> None:
        path = Path(settings.folder)
        super().__init__(loop, log, path, node, settings.sync, settings.journal_mb, settings.wait_ms)
        self.take_in = take_in

    # Reading.

    def folder(self) -> StateDirectory:
        """Return the folder as this process reads it."""
        return StateDirectory(Disk(self.path), self.node, self.era, machine=self.sync == "durable")

    def load(self) -> NodeState | None:
        """Read what the last life left, before the loop runs; None where that cannot be yet."""
        try:
            self.take_lock()
            folder = self.folder()
            state = folder.load(unix_ms(self.era))
        except OSError as error:
            self.fail(code_of(error), error.strerror or str(error))
            return None
        self.found(folder)
        return state

    def found(self, folder: StateDirectory) -> None:
        """Note that what the folder holds was read."""
        self.known = True
        for finding in folder.findings:
            self.log.line(f"state file {finding.name or self.path} code={finding.code}: {finding.text}")
            self.told_lost = self.told_lost or finding.code == "lost"

    def read(self) -> Coroutine:
        """Read in pieces, while the node serves, and have it taken in before anything is written."""
        folder, state, began = self.folder(), NodeState(), self.loop.now()
        # Each collection would look at all the keys read so far, in one turn: 58 ms with 100,000 of them.
        gc.disable()
        try:
            steps = folder.read(unix_ms(self.era))
            while True:
                try:
                    next(steps)
                except StopIteration as end:
                    state = end.value
                    break
                if self.loop.now() - began > PIECE_MS:
                    yield from sleep(self.loop.now())
                    began = self.loop.now()
            self.found(folder)
            yield from self.take_in(state)
        finally:
            gc.enable()
            gc.freeze()  # they stay for long

    def append(self, *entries: StateRecord) -> int:
        """Hand entries to the helper; return the number under which they become durable, 0 for never."""
        return self.message(APPEND, b"".join(form.frame(entry) for entry in entries))
