"""The node's store: reads the state directory, at the start or as soon as it can, and has records written.

Where the disk cannot be used, what needs a record is not sent (`log_writer_client`).
"""

import gc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from marlseam.configuration import StoreSettings
from marlseam.net.connection import Steps
from marlseam.net.log import Log
from marlseam.net.loop import Coroutine, Loop, sleep
from marlseam.store.clock_era import unix_ms
from marlseam.store.disk import Disk
from marlseam.store.file_format import StateRecord, encode_record
from marlseam.store.log_writer_client import LogWriterClient
from marlseam.store.node_state import NodeState
from marlseam.store.state_directory import StateDirectory
from marlseam.store.writer_channel import APPEND

MAX_READ_MS_PER_TURN = 5.0  # that reading may take of a turn of the loop


@contextmanager
def collection_paused() -> Iterator[None]:
    """Pause garbage collection for a block that creates many objects which stay for long.

    Guards the loop: each collection would look at all the keys read so far, 58 ms with 100,000 of them.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        gc.freeze()


class StateStore(LogWriterClient):
    """A node's durable state.

    Attributes:
        take_in: what the node does with a state that is read while the loop runs.
    """

    def __init__(
        self, loop: Loop, log: Log, settings: StoreSettings, node: str, take_in: Callable[[NodeState], Steps]
    ) -> None:
        path = Path(settings.folder)
        super().__init__(loop, log, path, node, settings.sync, settings.journal_mb, settings.wait_ms)
        self.take_in = take_in

    # Reading.

    def directory(self) -> StateDirectory:
        """Return the state directory as this process reads it."""
        return StateDirectory(Disk(self.path), self.node, self.era, outlives_machine=self.sync == "durable")

    def load(self) -> NodeState | None:
        """Read what the last process left, before the loop runs; None where that cannot be yet."""
        try:
            self.take_lock()
            directory = self.directory()
            state = directory.load(unix_ms(self.era))
        except OSError as error:
            self.mark_failed(error)
            return None
        self.note_read(directory)
        return state

    def note_read(self, directory: StateDirectory) -> None:
        """Note that the directory was read, and log what is wrong with its files."""
        self.is_loaded = True
        for finding in directory.findings:
            self.log.line(f"state file {finding.name or self.path} code={finding.code}: {finding.text}")
            self.is_loss_logged = self.is_loss_logged or finding.code == "lost"

    def read(self) -> Coroutine:
        """Read in steps, while the node serves, and have it taken in before anything is written."""
        directory = self.directory()
        with collection_paused():
            state = yield from self.read_in_turns(directory)
            self.note_read(directory)
            yield from self.take_in(state)

    def read_in_turns(self, directory: StateDirectory) -> Steps:
        """Return the state, read in steps that give way to the loop's other tasks."""
        began_ms = self.loop.now()
        steps = directory.read(unix_ms(self.era))
        while True:
            try:
                next(steps)
            except StopIteration as end:
                return end.value
            if self.loop.now() - began_ms > MAX_READ_MS_PER_TURN:
                yield from sleep(self.loop.now())
                began_ms = self.loop.now()

    # Writing.

    def append(self, *records: StateRecord) -> int:
        """Hand records to the writer process.

        Return the number under which they become durable, 0 where they never do.
        """
        return self.send_message(APPEND, b"".join(encode_record(record) for record in records))
