"""Contents that a replica holds as bytes, and the deltas between them that it can pass on."""

from collections import Counter
from collections.abc import Collection, Mapping

from marlseam.cluster.replication import delta, messages
from marlseam.cluster.replication.content import Content, InvalidContentError, of_document
from marlseam.cluster.replication.delta import DeltaError, DeltaLink, Document


class ContentStore:
    """Contents and deltas by content id.

    Attributes:
        contents: the bytes of each content.
        documents: parsed contents, as far as they were read.
        delta_links: the delta that leads to a content, by that content's id; the earliest first.
        delta_links_bytes: the size of all deltas together, in bytes.
        held_id: the content of the version held; the deltas kept are never larger than it.
        transfer_counts: transfers by kind ("whole", "chains"), edits, and discarded chunks by code.

    """

    def __init__(self, contents: Mapping[str, bytes]) -> None:
        """Begin with contents that were recovered from disk."""
        self.contents: dict[str, bytes] = dict(contents)
        self.documents: dict[str, Document] = {}
        self.delta_links: dict[str, DeltaLink] = {}
        self.delta_links_bytes = 0
        self.held_id = ""
        self.transfer_counts: Counter[str] = Counter()

    def document(self, content_id: str) -> Document:
        """Return a stored content as a document; raises DeltaError."""
        found = self.documents.get(content_id)
        if found is None:
            found = self.documents[content_id] = delta.decode_document(self.contents[content_id])
        return found

    def read(self, content_id: str, members: frozenset[str]) -> Content:
        """Return a stored content that may name some members; raises InvalidContentError."""
        try:
            return of_document(self.document(content_id), members)
        except DeltaError as error:
            raise InvalidContentError(str(error)[: messages.MAX_REASON_CHARACTERS]) from None

    def retain(self, wanted: Collection[str]) -> None:
        """Drop all contents but the wanted, and the deltas that are not worth their memory any more."""
        self.contents = {key: data for key, data in self.contents.items() if key in wanted}
        self.documents = {key: found for key, found in self.documents.items() if key in wanted}
        self.trim_delta_links()

    def add_delta_link(self, content_id: str, link: DeltaLink) -> None:
        """Keep the delta that leads to a content, to pass it on."""
        if content_id not in self.delta_links:
            self.delta_links[content_id] = link
            self.delta_links_bytes += len(link.data)
            self.trim_delta_links()

    def trim_delta_links(self) -> None:
        """Drop the earliest deltas while all together are larger than the content held.

        A chain that is larger than the content is never sent.
        """
        while self.delta_links_bytes > len(self.contents.get(self.held_id, b"")):
            oldest = next(iter(self.delta_links))
            self.delta_links_bytes -= len(self.delta_links.pop(oldest).data)

    def add_delta_from_predecessor(self, content_id: str) -> None:
        """Compute the delta to a content that is here as a whole, if the content before it is here too."""
        try:
            after = self.document(content_id)
            before_id = after.get("before")
            if content_id in self.delta_links or before_id not in self.contents:
                return
            found = delta.compute_change(self.document(before_id), self.contents[content_id], after)
        except (DeltaError, TypeError, RecursionError):
            return  # of a document that no operator writes: the whole is sent
        if found is not None:
            self.documents[content_id] = found.document
            self.add_delta_link(content_id, DeltaLink(before_id, found.data))

    def delta_chain(self, base_id: str, content_id: str) -> bytes | None:
        """Return the deltas from one content to another.

        None where one of them is not here, or where they are no smaller than the content.
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
        """Return the content that a chain of deltas leads to, and keep its deltas; raises DeltaError."""
        applied = delta.apply_chain(self.document(base_id), base_id, chain, content_id)
        self.documents[content_id] = applied.document
        for link_id, link in applied.links.items():
            self.add_delta_link(link_id, link)
        self.transfer_counts["chains"] += 1
        self.transfer_counts["edits"] += applied.edits
        return applied.data
