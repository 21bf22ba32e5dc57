"""The contents that a replica stores as bytes, and the deltas between them that it can send to others."""

from collections import Counter
from collections.abc import Collection, Mapping

from marlseam.cluster.replication import delta, messages
from marlseam.cluster.replication.content import Content, InvalidContentError, of_document
from marlseam.cluster.replication.delta import DeltaError, DeltaLink, Document


class ContentStore:
    """Contents and deltas by content id.

    Attributes:
        contents: the bytes of each content.
        documents: the parsed documents of contents that were read, by content id.
        delta_links: the delta from its predecessor to a content, by that content's id; the oldest first.
        delta_links_bytes: total size of the deltas, in bytes.
        held_id: id of the content of the version held; the deltas kept are never larger in total than that
            content.
        transfer_counts: completed transfers by kind ("whole", "chains"), applied edits ("edits"), and
            discarded chunks and failed transfers by code.

    """

    def __init__(self, contents: Mapping[str, bytes]) -> None:
        """Start with the contents recovered from disk."""
        self.contents: dict[str, bytes] = dict(contents)
        self.documents: dict[str, Document] = {}
        self.delta_links: dict[str, DeltaLink] = {}
        self.delta_links_bytes = 0
        self.held_id = ""
        self.transfer_counts: Counter[str] = Counter()

    def document(self, content_id: str) -> Document:
        """Return a stored content as a parsed document; raises DeltaError if it is not a JSON object."""
        found = self.documents.get(content_id)
        if found is None:
            found = self.documents[content_id] = delta.decode_document(self.contents[content_id])
        return found

    def read(self, content_id: str, members: frozenset[str]) -> Content:
        """Decode a stored content; raises InvalidContentError.

        `members` are those of the cluster, for a content that lists no members itself.
        """
        try:
            return of_document(self.document(content_id), members)
        except DeltaError as error:
            raise InvalidContentError(str(error)[: messages.MAX_REASON_CHARACTERS]) from None

    def retain(self, needed: Collection[str]) -> None:
        """Drop all contents except those with the ids `needed`, and trim the deltas."""
        self.contents = {key: data for key, data in self.contents.items() if key in needed}
        self.documents = {key: found for key, found in self.documents.items() if key in needed}
        self.trim_delta_links()

    def add_delta_link(self, content_id: str, link: DeltaLink) -> None:
        """Store the delta that leads to a content, so that it can be sent to others."""
        if content_id not in self.delta_links:
            self.delta_links[content_id] = link
            self.delta_links_bytes += len(link.data)
            self.trim_delta_links()

    def trim_delta_links(self) -> None:
        """Drop the oldest deltas while their total size exceeds that of the content held.

        A chain that is larger than the content is never sent, so it need not be stored.
        """
        while self.delta_links_bytes > len(self.contents.get(self.held_id, b"")):
            oldest = next(iter(self.delta_links))
            self.delta_links_bytes -= len(self.delta_links.pop(oldest).data)

    def add_delta_from_predecessor(self, content_id: str) -> None:
        """Compute and store the delta to a stored content, if the content before it is stored too."""
        try:
            after = self.document(content_id)
            before_id = after.get("before")
            if content_id in self.delta_links or before_id not in self.contents:
                return
            found = delta.compute_change(self.document(before_id), self.contents[content_id], after)
        except (DeltaError, TypeError, RecursionError):
            return  # only for documents that no operator writes: the whole content is sent instead
        if found is not None:
            self.documents[content_id] = found.document
            self.add_delta_link(content_id, DeltaLink(before_id, found.data))

    def delta_chain(self, base_id: str, content_id: str) -> bytes | None:
        """Return the encoded delta chain from one content to another.

        Returns None if a delta of the chain is not stored, or if the chain is no smaller than the content.
        """
        links: list[DeltaLink] = []
        current_id = content_id
        bytes_left = len(self.contents[content_id]) - 1
        while current_id != base_id:
            link = self.delta_links.get(current_id)
            if link is None:
                return None
            bytes_left -= len(link.data) + 1
            if bytes_left <= 0:
                return None
            links.append(link)
            current_id = link.before
        return delta.encode_chain(links[::-1]) if links else None

    def apply_delta_chain(self, base_id: str, chain: bytes, content_id: str) -> bytes:
        """Apply a delta chain, store its deltas and return the resulting content; raises DeltaError."""
        applied = delta.apply_chain(self.document(base_id), base_id, chain, content_id)
        self.documents[content_id] = applied.document
        for link_id, link in applied.links.items():
            self.add_delta_link(link_id, link)
        self.transfer_counts["chains"] += 1
        self.transfer_counts["edits"] += applied.edits
        return applied.data
