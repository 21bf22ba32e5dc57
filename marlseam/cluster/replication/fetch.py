"""Fetching a content from other members: in chunks, as a whole or as deltas to a content that is here."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from marlseam.cluster.replication import messages
from marlseam.cluster.replication.content import digest
from marlseam.cluster.replication.delta import DeltaError
from marlseam.cluster.replication.effects import Effect, LogLine, SendMessage
from marlseam.cluster.replication.messages import Chunk, FetchRequest

if TYPE_CHECKING:
    from marlseam.cluster.replication.replica import ConfigReplica

MAX_CONTENTS = 8  # held at a time; above it those that nothing needs are dropped
WINDOW_CHUNKS = 8  # sent for one request
MAX_FETCHES = 3  # at a time
MAX_STALLED_PERIODS = 3  # in a row without a new chunk, after which a fetch begins anew


class TransferForm(NamedTuple):
    """What the chunks of a transfer add up to: its size, and the content that it is a delta to, if any."""

    size_bytes: int
    base_id: str


class FetchProgress(NamedTuple):
    """What came of a chunk: effects, and the fetch that is complete with it, if it is."""

    effects: list[Effect]
    completed: "Fetch | None" = None


@dataclass
class Fetch:
    """A content that is on its way.

    Attributes:
        content_id: of what is fetched.
        number: the version that it is to be held as; 0 where it is needed for a vote alone.
        source: the member that is asked.
        base_id: the content from which deltas will do; "" for the whole alone.
        received: the bytes up to the first gap.
        form: of what is coming, once the first chunk has told it.
        ahead: chunks of the window that came before their turn, by offset.
        requested_up_to: the offset up to which chunks were asked for.
        has_progress: whether a chunk has come since the last period began.
        stalled_periods: periods in a row without one.

    """

    content_id: str
    number: int
    source: str
    base_id: str
    received: bytearray = field(default_factory=bytearray)
    form: TransferForm | None = None
    ahead: dict[int, bytes] = field(default_factory=dict)
    requested_up_to: int = 0
    has_progress: bool = False
    stalled_periods: int = 0

    def window_end(self) -> int:
        """Return the offset at which the window behind what has come ends."""
        return len(self.received) + WINDOW_CHUNKS * messages.CHUNK_BYTES

    def next_request(self) -> FetchRequest:
        """Return the request for the chunks that are next."""
        self.requested_up_to = self.window_end()
        base_id = self.base_id if self.form is None else self.form.base_id
        return FetchRequest(self.content_id, len(self.received), base_id)

    def restart(self, base_id: str) -> None:
        """Drop what has come."""
        self.base_id, self.form, self.stalled_periods = base_id, None, 0
        self.received.clear()
        self.ahead.clear()

    def add(self, chunk: Chunk) -> str:
        """Take in a chunk; return a code for why it was discarded, or nothing."""
        form = TransferForm(chunk.size, chunk.have)
        if chunk.have not in ("", self.base_id) or self.form not in (None, form):
            return "other-form"
        if chunk.at < len(self.received) or chunk.at in self.ahead:
            return "repeated"
        is_aligned = chunk.at < self.window_end() and not chunk.at % messages.CHUNK_BYTES
        if not is_aligned or len(chunk.data) < min(messages.CHUNK_BYTES, chunk.size - chunk.at):
            return "out-of-turn"
        self.form, self.has_progress, self.ahead[chunk.at] = form, True, chunk.data
        while len(self.received) in self.ahead:
            self.received += self.ahead.pop(len(self.received))
        return ""


class ContentFetcher:
    """The fetches of a replica, and its answers to those of others; `fetches` are by content id."""

    def __init__(self, replica: "ConfigReplica") -> None:
        """Begin without any fetch."""
        self.replica, self.store = replica, replica.store
        self.fetches: dict[str, Fetch] = {}

    def available_base_id(self) -> str:
        """Return the content from which deltas can be applied here: the one held, if it is stored."""
        return self.replica.content_id if self.replica.content_id in self.store.contents else ""

    def begin(self, content_id: str, number: int, source: str) -> list[Effect]:
        """Begin to fetch a content, for a version or (number 0) for a vote."""
        running = self.fetches.get(content_id)
        if running is not None:
            running.number = max(running.number, number)
            return []
        if source == self.replica.name:
            return []
        if len(self.fetches) >= MAX_FETCHES:
            lowest = min(self.fetches.values(), key=lambda fetch: fetch.number)
            if lowest.number >= number:
                return []
            del self.fetches[lowest.content_id]
        fetch = self.fetches[content_id] = Fetch(content_id, number, source, self.available_base_id())
        return [SendMessage(source, fetch.next_request())]

    def retry_stalled(self) -> list[Effect]:
        """Ask again for what has not come; of another member where nothing came in the last period."""
        effects: list[Effect] = []
        for fetch in list(self.fetches.values()):
            if not fetch.has_progress:
                fetch.source = self.replica.random_member(fetch.source)
                fetch.stalled_periods += 1
                if fetch.stalled_periods >= MAX_STALLED_PERIODS:
                    # Whoever began is gone and others know fewer deltas, or it told a size that is wrong.
                    fetch.restart(self.available_base_id() if fetch.base_id else "")
            elif fetch.stalled_periods:
                fetch.stalled_periods = 0
            fetch.has_progress = False
            effects.append(SendMessage(fetch.source, fetch.next_request()))
        return effects

    def drop_up_to(self, number: int) -> None:
        """Drop the fetches of versions up to a number."""
        self.fetches = {key: fetch for key, fetch in self.fetches.items() if fetch.number > number}

    def send_chunks(self, recipient: str, request: FetchRequest) -> list[Effect]:
        """Send one window of a content, or of the deltas to it."""
        data = self.store.contents.get(request.id)
        if data is None:
            return []
        base_id = ""
        if request.have:
            chain = self.store.delta_chain(request.have, request.id)
            if chain is not None:
                data, base_id = chain, request.have
        end = min(len(data), request.at + WINDOW_CHUNKS * messages.CHUNK_BYTES)
        return [
            SendMessage(
                recipient,
                Chunk(request.id, len(data), start, data[start : start + messages.CHUNK_BYTES], base_id),
            )
            for start in range(request.at, end, messages.CHUNK_BYTES)
        ]

    def receive_chunk(self, sender: str, chunk: Chunk) -> FetchProgress:
        """Take in a chunk; the fetch is complete once the content is whole and has the id asked for."""
        fetch = self.fetches.get(chunk.id)
        discarded = "unasked" if fetch is None else fetch.add(chunk)
        if fetch is None or fetch.form is None or discarded:
            self.store.transfer_counts[discarded] += 1
            return FetchProgress([])
        fetch.source = sender
        if len(fetch.received) < fetch.form.size_bytes:
            is_window_received = len(fetch.received) >= fetch.requested_up_to
            return FetchProgress([SendMessage(sender, fetch.next_request())] if is_window_received else [])
        if fetch.form.base_id:
            return self.complete_deltas(sender, fetch, fetch.form.base_id)
        return self.complete_whole(sender, fetch)

    def complete_deltas(self, sender: str, fetch: Fetch, base_id: str) -> FetchProgress:
        """Apply deltas that have come; ask for the whole where they do not lead to the content."""
        if base_id not in self.store.contents:
            # Dropped meanwhile, as a later number is held.
            self.store.transfer_counts["gone"] += 1
            fetch.restart(self.available_base_id())
            return FetchProgress([SendMessage(sender, fetch.next_request())])
        try:
            data = self.store.apply_delta_chain(base_id, bytes(fetch.received), fetch.content_id)
        except DeltaError as error:
            self.store.transfer_counts["changes"] += 1
            fetch.restart("")
            fetch.source = self.replica.random_member(sender)
            text = f"what {sender} sent to lead to {fetch.content_id[:12]} does not: {error}"
            return FetchProgress(
                [LogLine(f"fleet code=changes: {text}"), SendMessage(fetch.source, fetch.next_request())]
            )
        self.complete(fetch, data)
        return FetchProgress([], fetch)

    def complete_whole(self, sender: str, fetch: Fetch) -> FetchProgress:
        """Check a content that has come as a whole; begin anew where it is another."""
        data = bytes(fetch.received)
        if digest(data) != fetch.content_id:
            self.store.transfer_counts["digest"] += 1
            fetch.restart("")
            text = f"what {sender} sent is not the content {fetch.content_id[:12]}"
            return FetchProgress([LogLine(f"fleet code=digest: {text}")])
        self.complete(fetch, data)
        self.store.transfer_counts["whole"] += 1
        self.store.add_delta_from_predecessor(fetch.content_id)
        return FetchProgress([], fetch)

    def complete(self, fetch: Fetch, data: bytes) -> None:
        """Store a content that has come and end its fetch."""
        del self.fetches[fetch.content_id]
        if len(self.store.contents) >= MAX_CONTENTS:
            self.replica.discard_unneeded(self.replica.number)
        self.store.contents[fetch.content_id] = data
