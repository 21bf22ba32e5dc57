"""The node's store: reads the state directory at the start, or once it can be read, and has records written.

While the disk cannot be used, requests that need a record are not sent (`log_writer_client`).
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

MAX_READ_MS_PER_TURN = 5.0  # how long one turn of the loop may read the directory


@contextmanager
def collection_paused() -> Iterator[None]:
    """Pause garbage collection during a block that creates many long-lived objects.

    Guards against stalls of the loop: each collection would visit all keys read so far, which takes 58 ms
    with 100,000 keys.
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
        on_late_load: called with a state that is read while the loop runs.
    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        settings: StoreSettings,
        node: str,
        on_late_load: Callable[[NodeState], Steps],
    ) -> None:
        path = Path(settings.folder)
        super().__init__(loop, log, path, node, settings.sync, settings.journal_mb, settings.wait_ms)
        self.on_late_load = on_late_load

    # Reading.

    def directory(self) -> StateDirectory:
        """Return the state directory as this process reads it."""
        return StateDirectory(Disk(self.path), self.node, self.era, outlives_machine=self.sync == "durable")

    def load(self) -> NodeState | None:
        """Read the state of the previous process before the loop runs; None if it cannot be read yet."""
        try:
            self.take_lock()
            directory = self.directory()
            state = directory.load(unix_ms(self.era))
        except OSError as error:
            self.mark_failed(error)
            return None
        self.mark_loaded(directory)
        return state

    def mark_loaded(self, directory: StateDirectory) -> None:
        """Mark the directory as read, and log the findings about its files."""
        self.is_loaded = True
        for finding in directory.findings:
            self.log.line(
                f"state file or directory {finding.name or self.path} code={finding.code}: {finding.text}"
            )
            self.is_loss_logged = self.is_loss_logged or finding.code == "lost"

    def read(self) -> Coroutine:
        """Read the directory in steps while the node serves; pass the state on before anything is written."""
        directory = self.directory()
        with collection_paused():
            state = yield from self.read_in_turns(directory)
            self.mark_loaded(directory)
            yield from self.on_late_load(state)

    def read_in_turns(self, directory: StateDirectory) -> Steps:
        """Read the state in steps, yielding to the loop's other tasks, and return it."""
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
        """Send records to the writer process.

        Return the number to pass to `wait_durable`, 0 if the records are not sent.
        """
        return self.send_message(APPEND, b"".join(encode_record(record) for record in records))
