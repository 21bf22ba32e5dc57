"""Fetches contents from other members in chunks, as a whole or as deltas to a content that is stored here."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from marlseam.cluster.replication import messages
from marlseam.cluster.replication.content import digest
from marlseam.cluster.replication.delta import DeltaError
from marlseam.cluster.replication.effects import Effect, LogLine, SendMessage
from marlseam.cluster.replication.messages import Chunk, FetchRequest

if TYPE_CHECKING:
    from marlseam.cluster.replication.replica import ConfigReplica

MAX_CONTENTS = 8  # stored contents from which on those that are not needed are dropped
WINDOW_CHUNKS = 8  # most chunks sent for one request
MAX_FETCHES = 3  # concurrent fetches
MAX_STALLED_PERIODS = 3  # consecutive protocol periods without a new chunk until a fetch restarts


class TransferForm(NamedTuple):
    """The size of a transfer in bytes, and the id of the content to which its deltas apply; "" if whole."""

    size_bytes: int
    base_id: str


class FetchProgress(NamedTuple):
    """The result of a chunk: effects, and the fetch that the chunk completed, if any."""

    effects: list[Effect]
    completed: "Fetch | None" = None


@dataclass
class Fetch:
    """A running fetch of one content.

    Attributes:
        content_id: id of the content.
        number: the version as which it will be held; 0 if it is needed only for a vote.
        source: the member from which it is requested.
        base_id: the content from which deltas are accepted; "" to accept only the whole.
        received: the bytes up to the first gap.
        form: form of the transfer; None before its first chunk.
        out_of_order: chunks of the window received before an earlier one, by byte offset.
        requested_up_to: the byte offset up to which chunks were requested.
        has_progress: whether a new chunk was received in the current protocol period.
        stalled_periods: consecutive protocol periods without a new chunk.

    """

    content_id: str
    number: int
    source: str
    base_id: str
    received: bytearray = field(default_factory=bytearray)
    form: TransferForm | None = None
    out_of_order: dict[int, bytes] = field(default_factory=dict)
    requested_up_to: int = 0
    has_progress: bool = False
    stalled_periods: int = 0

    def window_end(self) -> int:
        """Return the byte offset at which the window of chunks that may be received now ends."""
        return len(self.received) + WINDOW_CHUNKS * messages.CHUNK_BYTES

    def next_request(self) -> FetchRequest:
        """Return the request for the next window of chunks, and note that it is requested."""
        self.requested_up_to = self.window_end()
        base_id = self.base_id if self.form is None else self.form.base_id
        return FetchRequest(self.content_id, len(self.received), base_id)

    def restart(self, base_id: str) -> None:
        """Drop the received bytes; from now on accept deltas from `base_id`, or with "" only the whole."""
        self.base_id, self.form, self.stalled_periods = base_id, None, 0
        self.received.clear()
        self.out_of_order.clear()

    def add(self, chunk: Chunk) -> str:
        """Add a chunk; return "", or a code if it was discarded: other-form, repeated or out-of-turn."""
        form = TransferForm(chunk.size, chunk.have)
        if chunk.have not in ("", self.base_id) or self.form not in (None, form):
            return "other-form"
        if chunk.at < len(self.received) or chunk.at in self.out_of_order:
            return "repeated"
        is_aligned = chunk.at < self.window_end() and not chunk.at % messages.CHUNK_BYTES
        if not is_aligned or len(chunk.data) < min(messages.CHUNK_BYTES, chunk.size - chunk.at):
            return "out-of-turn"
        self.form, self.has_progress, self.out_of_order[chunk.at] = form, True, chunk.data
        while len(self.received) in self.out_of_order:
            self.received += self.out_of_order.pop(len(self.received))
        return ""


class ContentFetcher:
    """Runs the fetches of a replica and answers those of other members; `fetches` is keyed by content id."""

    def __init__(self, replica: "ConfigReplica") -> None:
        """Start without any fetch."""
        self.replica, self.store = replica, replica.store
        self.fetches: dict[str, Fetch] = {}

    def available_base_id(self) -> str:
        """Return the id of the content to which deltas can be applied: the one held, or "" if not stored."""
        return self.replica.content_id if self.replica.content_id in self.store.contents else ""

    def begin(self, content_id: str, number: int, source: str) -> list[Effect]:
        """Begin to fetch a content from a member, for the version `number` or, with 0, for a vote.

        If `MAX_FETCHES` run already, the one for the lowest number is dropped if `number` is higher; else
        nothing is begun.
        """
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
        """Request missing chunks again, once per period; from another member if there was no progress."""
        effects: list[Effect] = []
        for fetch in list(self.fetches.values()):
            if not fetch.has_progress:
                fetch.source = self.replica.random_member(fetch.source)
                fetch.stalled_periods += 1
                if fetch.stalled_periods >= MAX_STALLED_PERIODS:
                    # The first source may be gone while others store fewer deltas, or the announced size may
                    # be wrong.
                    fetch.restart(self.available_base_id() if fetch.base_id else "")
            elif fetch.stalled_periods:
                fetch.stalled_periods = 0
            fetch.has_progress = False
            effects.append(SendMessage(fetch.source, fetch.next_request()))
        return effects

    def drop_up_to(self, number: int) -> None:
        """Drop the fetches for versions up to `number`, and those for votes."""
        self.fetches = {key: fetch for key, fetch in self.fetches.items() if fetch.number > number}

    def send_chunks(self, recipient: str, request: FetchRequest) -> list[Effect]:
        """Answer a fetch request with a window of chunks of the content or, if smaller, the deltas to it."""
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
        """Handle a chunk; a fetch is complete once the whole content is present and has the requested id."""
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
        """Apply received deltas, which complete the fetch, or fetch again.

        If the base of the deltas was dropped, the content is requested again from the sender; if the deltas
        do not lead to the content, the whole is requested from a random member.
        """
        if base_id not in self.store.contents:
            # The base was dropped in the meantime, as a later version is held.
            self.store.transfer_counts["gone"] += 1
            fetch.restart(self.available_base_id())
            return FetchProgress([SendMessage(sender, fetch.next_request())])
        try:
            data = self.store.apply_delta_chain(base_id, bytes(fetch.received), fetch.content_id)
        except DeltaError as error:
            self.store.transfer_counts["changes"] += 1
            fetch.restart("")
            fetch.source = self.replica.random_member(sender)
            text = f"deltas from {sender} do not produce content {fetch.content_id[:12]}: {error}"
            return FetchProgress(
                [LogLine(f"fleet code=changes: {text}"), SendMessage(fetch.source, fetch.next_request())]
            )
        self.complete(fetch, data)
        return FetchProgress([], fetch)

    def complete_whole(self, sender: str, fetch: Fetch) -> FetchProgress:
        """Verify the digest of a content received as a whole; on a mismatch drop the bytes.

        The next `retry_stalled` requests the whole content again.
        """
        data = bytes(fetch.received)
        if digest(data) != fetch.content_id:
            self.store.transfer_counts["digest"] += 1
            fetch.restart("")
            text = f"content from {sender} does not have the requested digest {fetch.content_id[:12]}"
            return FetchProgress([LogLine(f"fleet code=digest: {text}")])
        self.complete(fetch, data)
        self.store.transfer_counts["whole"] += 1
        self.store.add_delta_from_predecessor(fetch.content_id)
        return FetchProgress([], fetch)

    def complete(self, fetch: Fetch, data: bytes) -> None:
        """Store a fetched content and end its fetch."""
        del self.fetches[fetch.content_id]
        if len(self.store.contents) >= MAX_CONTENTS:
            self.replica.discard_unneeded(self.replica.number)
        self.store.contents[fetch.content_id] = data
