"""Which version a node of a fleet acts on, how that is agreed, spread and proved to be in force; pure.

Numbers 1, 2, 3... each have one content: voters that the number before names agree on it (`agree`). A voter
accepts only what it holds, durably, and what passes its own check. Whoever holds a number tells it to those
that lag, and these fetch its content: the changes to it from the one that they hold, where these are fewer
bytes, else the whole (`changes`). Either way it is held as a whole, and has the id that was asked for.

Proof: a voter asks all voters; once most of them, each with its memory whole, have said that they accepted
nothing above a number, no higher one was chosen when it asked, as any choice needs one of them. Others take
over a proof with its age. A proof is good for a lease, counted from when it was asked for on one's own clock.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil, inf, log10
from typing import NamedTuple
from zlib import crc32

from marlseam.cluster.audit_log import (
    AcceptorPromise,
    ContentStored,
    LogRecord,
    OperatorOverride,
    RecoveredLog,
    VersionHeld,
    VotesBarred,
)
from marlseam.cluster.replication import delta, messages, paxos
from marlseam.cluster.replication.content import Content, InvalidContentError, digest, of_document
from marlseam.cluster.replication.delta import DeltaError, DeltaLink, Document
from marlseam.cluster.replication.messages import (
    Chunk,
    FetchRequest,
    ReplicationMessage,
    StatusRequest,
    StatusResponse,
    VoteMessage,
)
from marlseam.cluster.replication.paxos import (
    NONE,
    Accept,
    Accepted,
    Acceptor,
    AcceptorState,
    Prepare,
    Promise,
    Proposer,
    Refused,
)
from marlseam.random_source import RandomSource

DRIFT = 0.001  # by which a clock may run fast or slow
LEAST_SHARE = 0.5  # of the lease, after which the first of those without a proof stop acting
PUSHES = 4  # members told at once of a new number
CONTENTS_MOST = 8  # held at a time
WINDOW = 8  # pieces sent for one want
FETCHES_MOST = 3  # contents fetched at a time
ROUND = 4.0  # periods after which a round that gets no majority is followed by another, and as many by chance
PATIENCE = 40.0  # periods after which a publication is given up
BACK = 2.0  # periods that a node must be well before it acts again
SEQS_MOST = 64  # asks whose answers are waited for
STALLED = 3  # periods in a row without a new piece after which a fetch begins anew


class ReplicationSettings(NamedTuple):
    """What the settings say: who votes on number 1, times in ms, and what one without a proof does."""

    voters: frozenset[str]
    period_ms: float
    lease_ms: float
    strict: bool  # without a proof it leaves service; else it serves on, marked, for up to `serve_ms`
    serve_ms: float


class SendMessage(NamedTuple):
    """Say this to a member."""

    name: str
    say: ReplicationMessage


class Persist(NamedTuple):
    """Have these durable, then call `kept` with the token, or `unkept`."""

    token: int
    entries: tuple[LogRecord, ...]


class ApplyContent(NamedTuple):
    """Act on this content from now on."""

    number: int
    id: str
    content: Content


class LogLine(NamedTuple):
    """Tell staff."""

    text: str


Effect = SendMessage | Persist | ApplyContent | LogLine


class ServingStatus(NamedTuple):
    """Whether this node may act, whether its version is proved to be in force.

    A code if anything is amiss.
    """

    acts: bool
    proved: bool
    code: str = ""


@dataclass
class QuorumRead:
    """One round of asking: when, at which number, and which voters have said that nothing is above it."""

    at_ms: float
    number: int
    voters: frozenset[str]
    clear: set[str] = field(default_factory=set)
    tops: dict[str, int] = field(default_factory=dict)


@dataclass
class Fetch:
    """A content that is on its way: what it is for, from whom, and what has come."""

    id: str
    number: int  # 0: to vote on
    source: str
    have: str  # the content from which changes will do, none for the whole
    data: bytearray = field(default_factory=bytearray)
    form: tuple[int, str] | None = None  # of what is coming: its size, and from which content it leads
    ahead: dict[int, bytes] = field(default_factory=dict)  # pieces of the window that came before their turn
    until: int = 0  # up to where pieces were asked for
    fresh: bool = False  # whether a piece has come since the last tick
    stalled: int = 0  # ticks in a row without one

    def want(self) -> FetchRequest:
        """Ask for what is next."""
        self.until = len(self.data) + WINDOW * messages.CHUNK_BYTES
        return FetchRequest(self.id, len(self.data), self.have if self.form is None else self.form[1])

    def anew(self, have: str) -> None:
        """Drop what has come."""
        self.have, self.form, self.stalled = have, None, 0
        self.data.clear()
        self.ahead.clear()

    def take(self, piece: Chunk) -> str:
        """Take in a piece; return why not, or nothing."""
        form = piece.size, piece.have
        if piece.have not in ("", self.have) or self.form not in (None, form):
            return "other-form"
        if piece.at < len(self.data) or piece.at in self.ahead:
            return "repeated"
        end = len(self.data) + WINDOW * messages.CHUNK_BYTES
        if (
            piece.at >= end
            or piece.at % messages.CHUNK_BYTES
            or len(piece.data) < min(messages.CHUNK_BYTES, piece.size - piece.at)
        ):
            return "out-of-turn"
        self.form, self.fresh, self.ahead[piece.at] = form, True, piece.data
        while len(self.data) in self.ahead:
            self.data += self.ahead.pop(len(self.data))
        return ""


@dataclass
class Publication:
    """A number that this node has agreed on: for an operator, or as another left it half done."""

    proposer: Proposer
    id: str  # what is wanted
    by_operator: bool
    since_ms: float
    round_ms: float
    past: int = 0  # the latest round heard of
    refusals: dict[str, str] = field(default_factory=dict)


class PeerStatus(NamedTuple):
    """What a member last said of itself."""

    at_ms: float
    number: int
    acting: int
    serving: bool
    code: str
    votes: bool


def vote_of(message: paxos.Message, why: str = "") -> VoteMessage:
    """Return a message of agreement as it is said."""
    number, (round, place) = message.number, message.ballot
    if type(message) is Prepare:
        return VoteMessage("prepare", number, round, place)
    if type(message) is Promise:
        return VoteMessage("promise", number, round, place, *message.accepted, message.value)
    if type(message) is Refused:
        return VoteMessage("refused", number, round, place, *message.promised, why=why)
    return VoteMessage(
        "accept" if type(message) is Accept else "accepted", number, round, place, value=message.value
    )


def message_of(vote: VoteMessage, sender: str) -> paxos.Message:
    """Return what was said as a message of agreement."""
    ballot, other = (vote.round, vote.place), (vote.other_round, vote.other_place)
    match vote.kind:
        case "prepare":
            return Prepare(vote.number, ballot)
        case "promise":
            return Promise(vote.number, ballot, sender, other, vote.value)
        case "accept":
            return Accept(vote.number, ballot, vote.value)
        case "accepted":
            return Accepted(vote.number, ballot, sender, vote.value)
    return Refused(vote.number, ballot, other)


class ConfigReplica:
    """One node's part; `check` says what is wrong with a content here, or nothing. Times in ms, one's own."""

    def __init__(
        self,
        name: str,
        members: frozenset[str],
        terms: ReplicationSettings,
        place: str,
        seed: int,
        now: float,
        kept: RecoveredLog,
        check: Callable[[Content], str] = lambda content: "",
    ) -> None:
        """Make one; `place` is this process's own in ballots, no other process of any name has it."""
        self.name, self.members, self.terms, self.place = name, members, terms, place
        self.others = sorted(members - {name})
        self.chance, self.check = RandomSource(seed), check
        self.contents: dict[str, bytes] = dict(kept.contents)
        self.documents: dict[str, Document] = {}  # of contents, as they were last read
        self.links: dict[str, DeltaLink] = {}  # changes, by the id that they lead to, the earliest first
        self.links_bytes = 0
        self.content: Content | None = None  # of the version held, where it can be read here
        self.came: Counter[str] = Counter()  # contents as a whole, chains, edits; pieces left out, by code
        self.acceptor = Acceptor(name, dict(kept.promises))
        self.durable = dict(kept.promises)  # what has been written of them
        self.bar = kept.bar  # votes on no number up to it; None: on none until it is known
        self.hand = kept.hand
        self.beside = False  # a process of this node that has its memory of votes
        self.number, self.id, self.voters = 0, "", terms.voters
        self.acting, self.unfit = 0, ""
        self.former_ms = -inf  # as of when the version acted on was in force, where the one held is unfit
        self.known, self.behind_ms = 0, inf  # the highest number heard of, and since when that is above ours
        self.rank = crc32(name.encode()) / 2.0**32
        self.proof_ms = -inf
        self.began_ms, self.well_ms = now, now
        self.stood = ServingStatus(False, False, "joining")
        self.disk = ""  # why nothing can be kept, where that is so
        self.seq = 0
        self.asked: dict[int, QuorumRead] = {}
        self.sent: dict[int, float] = {}  # when each was asked for
        self.fetches: dict[str, Fetch] = {}
        self.accepts: dict[
            str, tuple[str, VoteMessage]
        ] = {}  # what is to be accepted once its content has come
        self.pending: dict[int, Callable[[float], list[Effect]]] = {}
        self.tokens = 0
        self.learning: tuple[int, str] | None = None
        self.publication: Publication | None = None
        self.result = ""  # of the last publication asked for here
        self.rounds: dict[int, int] = {}  # the last round begun in this process's life, of one number
        self.open_ms: float | None = None  # since when something accepted waits to be chosen
        self.peers: dict[str, PeerStatus] = {}
        self.next_ms = now
        if kept.held is not None:
            self.take(kept.held.number, kept.held.id)

    def recall(self, kept: RecoveredLog) -> None:
        """Take up this node's memory of votes, which another process of it had until now."""
        self.contents |= kept.contents
        for number, promised in kept.promises.items():
            if number > self.number:
                self.acceptor.kept[number] = self.durable[number] = promised
        self.bar, self.beside = kept.bar, False

    # Small things.

    def some(self, count: int) -> list[str]:
        """Return so many other members at random, or all; as cheap in a large fleet."""
        if len(self.others) <= count:
            return list(self.others)
        found: dict[str, None] = {}
        while len(found) < count:
            found[self.others[int(self.chance() * len(self.others))]] = None
        return list(found)

    def keep(self, entries: tuple[LogRecord, ...], then: Callable[[float], list[Effect]]) -> Persist:
        """Return the wish to have something durable, and note what follows."""
        self.tokens += 1
        self.pending[self.tokens] = then
        return Persist(self.tokens, entries)

    def kept(self, now: float, token: int) -> list[Effect]:
        """Go on with what has become durable."""
        then = self.pending.pop(token, None)
        return then(now) if then is not None else []

    def unkept(self, token: int) -> None:
        """Drop what could not be kept: it is as if it had not been asked for."""
        self.pending.pop(token, None)
        self.learning = None

    def votes(self, number: int) -> bool:
        """Return whether this node may vote on a number: one of its voters, and its memory of it is whole."""
        return self.name in self.voters and self.bar is not None and number > self.bar

    def top(self) -> int:
        """Return the highest number of which anything was promised, accepted or held."""
        return max([self.number, *self.acceptor.kept])

    def accepted(self) -> int:
        """Return the highest number for which any content was accepted, or is held."""
        return max([self.number, *(n for n, p in self.acceptor.kept.items() if p.accepted > NONE)])

    def lease_ms(self) -> float:
        """Return for how long a proof is good here.

        Guards a fleet that has lost its voters against leaving in one stroke: nodes do so one by one.
        """
        share = LEAST_SHARE + (1.0 - LEAST_SHARE) * self.rank
        return self.terms.lease_ms * share * (1.0 - 2.0 * DRIFT)

    # What it acts on, and whether it may.

    def take(self, number: int, id: str) -> list[Effect]:
        """Hold a number, and act on it if it fits here."""
        self.number, self.id, self.learning = number, id, None
        if not self.unfit:
            self.former_ms = self.proof_ms
        for old in [n for n in self.acceptor.kept if n <= number]:
            del self.acceptor.kept[old]
            self.durable.pop(old, None)
        self.content = None
        try:
            content = self.content = self.content_of(id)
            self.voters = frozenset(content.voters)
            self.unfit = self.check(content)
            if content.members and not self.unfit and content.members.keys() != self.members:
                self.members = frozenset(content.members)
                self.others = sorted(self.members - {self.name})
                self.peers = {name: peer for name, peer in self.peers.items() if name in self.members}
        except InvalidContentError as error:
            # Who votes on the next number is not known: the voters of an earlier one would prove what is
            # not so, and others would take that over.
            self.unfit, self.voters = str(error), frozenset()
        effects = self.overtaken(number, id)
        self.let_go(number)
        self.open_ms = None
        if self.unfit:
            return [
                *effects,
                LogLine(f"fleet code=unfit: version {number} cannot be used here: {self.unfit}"),
            ]
        self.acting = number
        return [*effects, ApplyContent(number, id, content)]

    def overtaken(self, number: int, id: str) -> list[Effect]:
        """End a publication whose number was agreed on by another proposer's doing.

        Its voters vote on that number no more, so it would stand in the way of the next until it is given up.
        """
        publication = self.publication
        if publication is None or publication.proposer.number > number:
            return []
        if publication.proposer.number == number:
            return self.ended(self.came_to(number, id, publication), publication)
        later = f"not known whether it became version {publication.proposer.number}: {number} is held"
        return self.ended(later, publication)

    def came_to(self, number: int, id: str, publication: Publication) -> str:
        """Return what came of a publication whose number has a content."""
        if id == publication.id:
            return f"version {number} is {id[:12]}"
        return f"beaten: another content was chosen as version {number}, {id[:12]}"

    def let_go(self, number: int) -> None:
        """Forget contents, fetches and questions that nothing above a number needs."""
        wanted = {p.value for p in self.acceptor.kept.values()} | {self.id}
        if self.publication is not None:
            wanted.add(self.publication.id)
        self.contents = {key: data for key, data in self.contents.items() if key in wanted}
        self.documents = {key: found for key, found in self.documents.items() if key in wanted}
        self.trim()
        self.fetches = {key: fetch for key, fetch in self.fetches.items() if fetch.number > number}
        self.accepts = {key: row for key, row in self.accepts.items() if row[1].number > number}

    def proved(self, now: float) -> bool:
        """Return whether the version acted on is known to be in force, or was within the lease."""
        return self.acting == self.number and now < self.proof_ms + self.lease_ms()

    def amiss(self, now: float) -> str:
        """Return why this node should not act, as a code, or nothing."""
        if self.hand is not None:
            return "hand"
        if self.disk:
            return "disk"
        if self.name not in self.members:
            return "removed"
        if self.unfit:
            # Not at once: by their own leases, one after another, where all are strict.
            if self.terms.strict:
                return "unfit" if now >= self.former_ms + self.lease_ms() else ""
            return "" if self.alone(now) else "unfit"
        if self.known > self.number and now >= self.behind_ms + self.lease_ms():
            return "behind"
        if self.proved(now):
            return ""
        if self.proof_ms == -inf and (self.terms.strict or now < self.began_ms + self.terms.lease_ms):
            return "joining"
        since = self.proof_ms if self.proof_ms > -inf else self.began_ms
        return "unproved" if self.terms.strict or now >= since + self.longest() else ""

    def longest(self) -> float:
        """Return for how long it serves on without a proof."""
        return self.terms.serve_ms * (LEAST_SHARE + (1.0 - LEAST_SHARE) * self.rank)

    def alone(self, now: float) -> bool:
        """Return whether too few others act on the version held for this one to leave.

        Guards a fleet of which most cannot use a version against shutting itself out in one stroke.
        """
        since = now - self.terms.lease_ms
        heard = [peer for peer in self.peers.values() if peer.at_ms >= since]
        there = sum(peer.serving and peer.acting >= self.number for peer in heard)
        return 2 * there < len(heard) + 1

    def stand(self, now: float) -> ServingStatus:
        """Return whether it may act now; once out it must be well for a while to come back."""
        code = self.amiss(now)
        if code:
            self.well_ms = inf
        elif self.well_ms == inf:
            self.well_ms = now
        acts = not code and (
            self.stood.acts
            or self.stood.code == "joining"
            or now >= self.well_ms + BACK * self.terms.period_ms
        )
        if not acts:
            self.stood = ServingStatus(False, False, code or self.stood.code)
        elif self.unfit:
            self.stood = ServingStatus(True, False, "unfit")
        else:
            proved = self.proved(now)
            self.stood = ServingStatus(True, proved, "" if proved else "unproved")
        return self.stood

    def until(self, now: float) -> float:
        """Return until when what `stand` says holds, if nothing is heard."""
        ends = [
            self.proof_ms + self.lease_ms(),
            self.proof_ms + self.longest(),
            self.began_ms + self.terms.lease_ms,
            self.began_ms + self.longest(),
            self.former_ms + self.lease_ms(),
            self.behind_ms + self.lease_ms(),
            self.well_ms + BACK * self.terms.period_ms,
        ]
        return min([end for end in ends if end > now], default=inf)

    # Time.

    def tick(self, now: float) -> list[Effect]:
        """Ask, go on with what is under way, a period at a time."""
        if now < self.next_ms:
            return []
        self.next_ms = now + self.terms.period_ms * (0.75 + 0.5 * self.chance())
        effects = self.ask(now)
        for fetch in list(self.fetches.values()):
            if not fetch.fresh:
                fetch.source = (self.some(1) or [fetch.source])[0]
                fetch.stalled += 1
                if fetch.stalled >= STALLED:
                    # Whoever began is gone and others know fewer changes, or it said a size that is not so.
                    fetch.anew(self.place_for(fetch))
            elif fetch.stalled:
                fetch.stalled = 0
            fetch.fresh = False
            effects.append(SendMessage(fetch.source, fetch.want()))
        return effects + self.push_on(now)

    def ask(self, now: float) -> list[Effect]:
        """Ask some members, and as a voter all voters, what they hold."""
        # A proof goes round in as many periods as the fleet has figures, about: more are asked in a larger
        # one.
        targets = set(self.some(ceil(log10(1.0 + len(self.others)))))
        self.seq += 1
        round = QuorumRead(now, self.number, self.voters)
        if self.name in self.voters:
            targets |= self.voters - {self.name}
        self.asked[self.seq], self.sent[self.seq] = round, now
        for table in (self.asked, self.sent):
            table.pop(self.seq - SEQS_MOST, None)
        if self.votes(self.number + 1) and self.accepted() <= self.number:
            round.clear.add(self.name)
        self.weigh(round)
        return [SendMessage(name, StatusRequest(self.seq, self.number)) for name in sorted(targets)]

    def weigh(self, round: QuorumRead) -> None:
        """Take most voters' word that nothing above a number was accepted as a proof."""
        if len(round.clear) >= paxos.majority(round.voters) and round.number <= self.number:
            self.proof_ms = max(self.proof_ms, round.at_ms)

    def push_on(self, now: float) -> list[Effect]:
        """Begin another round where one has got stuck, finish what another left half done."""
        period, publication = self.terms.period_ms, self.publication
        if publication is not None:
            if now > publication.since_ms + PATIENCE * period:
                return self.ended("no majority of the voters was heard", publication)
            if now < publication.round_ms:
                return self.repeat(publication)
            return self.begin(now, publication)
        held = self.acceptor.kept.get(self.number + 1)
        if held is None or held.accepted == NONE or not self.votes(self.number + 1):
            self.open_ms = None
            return []
        if self.open_ms is None:
            self.open_ms = now + period * ROUND * (1.0 + self.chance())
        if now < self.open_ms or held.value not in self.contents:
            return []
        # Guards the lease of all: while one content is accepted and none chosen, fewer can prove anything.
        self.open_ms = None
        return self.propose(now, held.value, False)

    # Agreement: this node as a proposer.

    def busy(self) -> str:
        """Return why nothing can be published here at this moment, or nothing."""
        if self.publication is not None and self.publication.by_operator:
            return "busy: a publication is under way here"
        if self.learning is not None:
            # It was agreed on and is held in a moment: what follows goes behind it, not for the same number.
            return f"busy: version {self.learning[0]} is being written here"
        return ""

    def publish(self, now: float, content: Content, data: bytes) -> list[Effect]:
        """Have a content agreed on under the next number; `result` tells what came of it.

        Nothing happens while this node is busy.
        """
        if self.busy():
            return []
        id = digest(data)
        self.contents[id] = data
        self.compare(id)
        self.result = "open"
        return self.propose(now, id, True)

    def propose(self, now: float, id: str, by_operator: bool) -> list[Effect]:
        """Begin to have a content agreed on."""
        proposer = Proposer(self.place, self.number + 1, id, self.voters)
        # A round is begun once in a process's life: a ballot with two contents would break the agreement.
        proposer.round = self.rounds.get(proposer.number, 0)
        self.publication = Publication(proposer, id, by_operator, now, now)
        return self.begin(now, self.publication)

    def begin(self, now: float, publication: Publication) -> list[Effect]:
        """Begin a round."""
        held = self.acceptor.kept.get(publication.proposer.number)
        message = publication.proposer.begin(max(publication.past, held.ballot[0] if held is not None else 0))
        self.rounds.clear()
        self.rounds[message.number] = publication.proposer.round
        publication.round_ms = now + self.terms.period_ms * ROUND * (1.0 + self.chance())
        return self.to_voters(now, message)

    def repeat(self, publication: Publication) -> list[Effect]:
        """Say again what the present round stands at, to those that have not answered."""
        proposer = publication.proposer
        if not proposer.open:
            return []
        if proposer.asked is None:
            message: paxos.Message = Prepare(proposer.number, proposer.ballot)
            left = proposer.voters - set(proposer.promises)
        else:
            message = Accept(proposer.number, proposer.ballot, proposer.asked)
            left = proposer.voters - proposer.taken
        return [SendMessage(name, vote_of(message)) for name in sorted(left - {self.name})]

    def to_voters(self, now: float, message: paxos.Message) -> list[Effect]:
        """Say something to all voters, this node maybe among them."""
        vote = vote_of(message)
        voters = self.publication.proposer.voters
        effects: list[Effect] = [SendMessage(name, vote) for name in sorted(voters - {self.name})]
        return effects + (self.asked_to_vote(now, self.name, vote) if self.name in voters else [])

    def answered(self, now: float, sender: str, vote: VoteMessage) -> list[Effect]:
        """Take in a voter's answer."""
        publication = self.publication
        if publication is None or vote.number != publication.proposer.number:
            return []
        proposer = publication.proposer
        if vote.kind == "refused" and vote.why:
            if (vote.round, vote.place) != proposer.ballot:
                return []
            publication.refusals[sender] = vote.why
            if len(proposer.voters) - len(publication.refusals) < proposer.enough():
                why = "; ".join(f"{name}: {text}" for name, text in sorted(publication.refusals.items()))
                return self.ended(f"refused by most voters: {why}", publication)
            return []
        if vote.kind == "refused":
            # Not at once: two that answer each other's rounds with later ones would never end. And the ballot
            # stays as it is until then: said again under a later one, an earlier round's content was chosen
            # twice.
            if (vote.round, vote.place) == proposer.ballot:
                publication.past = max(publication.past, vote.other_round)
                proposer.open = False
            return []
        effects: list[Effect] = []
        if vote.kind == "promise" and vote.value and vote.value not in self.contents:
            effects += self.fetch(vote.value, 0, sender)
        message = proposer.heard(message_of(vote, sender))
        if message is not None:
            effects += self.to_voters(now, message)
        if proposer.chosen is not None:
            effects += self.chosen(now, publication)
        return effects

    def chosen(self, now: float, publication: Publication) -> list[Effect]:
        """Learn what was chosen."""
        id, number = publication.proposer.chosen, publication.proposer.number
        effects = self.ended(self.came_to(number, id, publication), publication)
        if id in self.contents:
            return effects + self.learn(now, number, id)
        return effects + self.fetch(id, number, (self.some(1) or [self.name])[0])

    def ended(self, text: str, publication: Publication) -> list[Effect]:
        """Note that a publication is over."""
        self.publication = None
        if publication.by_operator:
            self.result = text
        return [LogLine(f"fleet publication: {text}")]

    # Agreement: this node as a voter.

    def asked_to_vote(self, now: float, sender: str, vote: VoteMessage) -> list[Effect]:
        """Answer a proposer, once what is promised is durable."""
        if vote.number <= self.number:
            return self.tell(now, sender, 0)
        if vote.number > self.number + 1:
            return [SendMessage(sender, StatusRequest(0, self.number))] if sender != self.name else []
        if not self.votes(vote.number):
            return []
        if vote.kind == "accept":
            if vote.value not in self.contents:
                self.accepts.pop(vote.value, None)
                self.accepts[vote.value] = sender, vote
                if len(self.accepts) > FETCHES_MOST:
                    # Guards the memory: the oldest is asked again, if it is still meant.
                    del self.accepts[next(iter(self.accepts))]
                return self.fetch(vote.value, 0, sender)
            why = self.wrong(vote)
            if why:
                held = self.acceptor.kept.get(vote.number, AcceptorState())
                refused = Refused(vote.number, (vote.round, vote.place), held.ballot)
                return self.answer(now, sender, vote_of(refused, why[: messages.MAX_REASON_CHARACTERS]))
        new, message = self.acceptor.heard(message_of(vote, sender))
        if new is None:
            # A repeat: said again only where the first is on the disk.
            same = self.durable.get(vote.number) == self.acceptor.kept.get(vote.number)
            return self.answer(now, sender, vote_of(message)) if same or type(message) is Refused else []
        # In memory at once, so that what comes while the disk works meets it; said once it is written.
        self.acceptor.keep(vote.number, new)
        entries: tuple[LogRecord, ...] = (
            AcceptorPromise(vote.number, *new.ballot, *new.accepted, new.value),
        )
        if type(message) is Accepted:
            entries = (ContentStored(new.value, self.contents[new.value]), *entries)

        def then(now: float) -> list[Effect]:
            if vote.number <= self.number:
                return []
            self.durable[vote.number] = new
            return self.answer(now, sender, vote_of(message))

        return [self.keep(entries, then)]

    def wrong(self, vote: VoteMessage) -> str:
        """Return what is wrong with a content that is to be accepted, or nothing."""
        try:
            content = self.content_of(vote.value)
        except InvalidContentError as error:
            return str(error)
        if content.number != vote.number or content.before != self.id:
            return f"number {content.number} after {content.before[:12]}, {vote.number} after {self.id[:12]}"
        return self.check(content)

    def answer(self, now: float, sender: str, vote: VoteMessage) -> list[Effect]:
        """Answer a proposer, maybe this node."""
        return self.answered(now, self.name, vote) if sender == self.name else [SendMessage(sender, vote)]

    # Holding, fetching, telling.

    def learn(self, now: float, number: int, id: str) -> list[Effect]:
        """Hold a number whose content is here, once that is durable."""
        if number <= self.number or self.learning is not None and self.learning[0] >= number:
            return []
        try:
            whole = self.content_of(id).number == number
        except InvalidContentError:
            whole = True  # cannot be read here, and that is said once it is held
        if not whole:
            return [LogLine(f"fleet code=number: the content {id[:12]} is not of version {number}")]
        self.learning, data = (number, id), self.contents[id]

        def then(now: float) -> list[Effect]:
            if number <= self.number:
                return []
            self.contents[id] = data  # let go meanwhile, where another number was held in between
            effects = self.take(number, id)
            for name in self.some(PUSHES):
                effects += self.tell(now, name, 0)
            return effects + self.ask(now)

        return [self.keep((ContentStored(id, data), VersionHeld(number, id)), then)]

    def fetch(self, id: str, number: int, source: str) -> list[Effect]:
        """Begin to fetch a content."""
        held = self.fetches.get(id)
        if held is not None:
            held.number = max(held.number, number)
            return []
        if source == self.name:
            return []
        if len(self.fetches) >= FETCHES_MOST:
            old = min(self.fetches.values(), key=lambda fetch: fetch.number)
            if old.number >= number:
                return []
            del self.fetches[old.id]
        fetch = self.fetches[id] = Fetch(id, number, source, self.id if self.id in self.contents else "")
        return [SendMessage(source, fetch.want())]

    def place_for(self, fetch: Fetch) -> str:
        """Return from which content on changes will do, after what has come of a fetch was dropped."""
        return self.id if fetch.have and self.id in self.contents else ""

    def pieces(self, sender: str, want: FetchRequest) -> list[Effect]:
        """Send some of a content, or of the changes to it."""
        data = self.contents.get(want.id)
        if data is None:
            return []
        chain = self.chain(want.have, want.id) if want.have else None
        data, have = (data, "") if chain is None else (chain, want.have)
        starts = range(want.at, min(len(data), want.at + WINDOW * messages.CHUNK_BYTES), messages.CHUNK_BYTES)
        return [
            SendMessage(sender, Chunk(want.id, len(data), at, data[at : at + messages.CHUNK_BYTES], have))
            for at in starts
        ]

    def piece(self, now: float, sender: str, piece: Chunk) -> list[Effect]:
        """Take in some of a content; go on once it is whole and what it should be."""
        fetch = self.fetches.get(piece.id)
        why = "unasked" if fetch is None else fetch.take(piece)
        if why:
            self.came[why] += 1
            return []
        fetch.source = sender
        if len(fetch.data) < fetch.form[0]:
            return [SendMessage(sender, fetch.want())] if len(fetch.data) >= fetch.until else []
        data, have = bytes(fetch.data), fetch.form[1]
        if have and have not in self.contents:
            # Let go meanwhile, as a later number is held.
            self.came["gone"] += 1
            fetch.anew(self.id if self.id in self.contents else "")
            return [SendMessage(sender, fetch.want())]
        if have:
            try:
                data = self.followed(have, data, fetch.id)
            except DeltaError as wrong:
                self.came["changes"] += 1
                fetch.anew("")
                fetch.source = (self.some(1) or [sender])[0]
                text = f"fleet code=changes: what {sender} sent to lead to {fetch.id[:12]} does not: {wrong}"
                return [LogLine(text), SendMessage(fetch.source, fetch.want())]
        elif digest(data) != fetch.id:
            self.came["digest"] += 1
            fetch.anew("")
            return [LogLine(f"fleet code=digest: what {sender} sent is not the content {fetch.id[:12]}")]
        del self.fetches[fetch.id]
        if len(self.contents) >= CONTENTS_MOST:
            self.let_go(self.number)
        self.contents[fetch.id] = data
        if not have:
            self.came["whole"] += 1
            self.compare(fetch.id)
        effects = self.learn(now, fetch.number, fetch.id) if fetch.number else []
        if fetch.id in self.accepts:
            effects += self.asked_to_vote(now, *self.accepts.pop(fetch.id))
        return effects

    # Changes.

    def document(self, id: str) -> Document:
        """Return a content that is here as a document; raises Wrong."""
        found = self.documents.get(id)
        if found is None:
            found = self.documents[id] = delta.document(self.contents[id])
        return found

    def content_of(self, id: str) -> Content:
        """Return a content that is here; raises Unfit."""
        try:
            return of_document(self.document(id), self.members)
        except DeltaError as wrong:
            raise InvalidContentError(str(wrong)[: messages.MAX_REASON_CHARACTERS]) from None

    def link(self, id: str, link: DeltaLink) -> None:
        """Keep a change, to be passed on."""
        if id not in self.links:
            self.links[id] = link
            self.links_bytes += len(link.data)
            self.trim()

    def trim(self) -> None:
        """Let go of the earliest changes: those that are more than the whole are never passed on."""
        while self.links_bytes > len(self.contents.get(self.id, b"")):
            self.links_bytes -= len(self.links.pop(next(iter(self.links))).data)

    def compare(self, id: str) -> None:
        """Find the change to a content that came as a whole from the one before it, where that is here."""
        try:
            after = self.document(id)
            before = after.get("before")
            if id in self.links or before not in self.contents:
                return
            found = delta.change(self.document(before), self.contents[id], after)
        except (DeltaError, TypeError, RecursionError):
            return  # of a document that no operator writes: the whole is sent
        if found is not None:
            data, self.documents[id] = found
            self.link(id, DeltaLink(before, data))

    def chain(self, have: str, id: str) -> bytes | None:
        """Return the changes from one content to another, None where they are not here or not fewer bytes."""
        found, at, left = list[DeltaLink](), id, len(self.contents[id]) - 1
        while at != have:
            link = self.links.get(at)
            if link is None:
                return None
            left -= len(link.data) + 1
            if left <= 0:
                return None
            found.append(link)
            at = link.before
        return delta.chain(found[::-1]) if found else None

    def followed(self, have: str, data: bytes, id: str) -> bytes:
        """Return the content that changes lead to, and keep them; raises Wrong."""
        found = delta.follow(self.document(have), have, data, id)
        self.documents[id] = found.document
        for key, link in found.links.items():
            self.link(key, link)
        self.came["chains"] += 1
        self.came["edits"] += found.edits
        return found.data

    def tell(self, now: float, to: str, seq: int) -> list[Effect]:
        """Tell what is held here."""
        if to == self.name:
            return []
        age = max(0.0, now - self.proof_ms) * (1.0 + 2.0 * DRIFT) if self.proof_ms > -inf else -1.0
        stood = self.stand(now)
        votes = self.votes(self.number + 1)
        return [
            SendMessage(
                to,
                StatusResponse(
                    seq,
                    self.number,
                    self.id,
                    self.acting,
                    stood.acts,
                    stood.code,
                    self.accepted(),
                    self.top(),
                    votes,
                    age,
                ),
            )
        ]

    def told(self, now: float, sender: str, say: StatusResponse) -> list[Effect]:
        """Take in what another holds."""
        if sender in self.members:
            self.peers[sender] = PeerStatus(now, say.number, say.acting, say.serving, say.code, say.votes)
        if say.number > self.number:
            if say.number > self.known:
                self.behind_ms = min(self.behind_ms, now) if self.known > self.number else now
                self.known = say.number
            if say.id in self.contents:
                return self.learn(now, say.number, say.id)
            return self.fetch(say.id, say.number, sender) if say.id else []
        asked_ms = self.sent.get(say.seq)
        if asked_ms is None:
            return []
        if say.age_ms >= 0.0:
            # As of then nothing above the other's number was chosen, so nothing above this one's either.
            self.proof_ms = max(self.proof_ms, asked_ms - say.age_ms)
        round = self.asked[say.seq]
        if sender in round.voters and say.votes:
            round.tops[sender] = say.top
            if say.accepted <= round.number:
                round.clear.add(sender)
                self.weigh(round)
            return self.remember(round)
        return []

    def remember(self, round: QuorumRead) -> list[Effect]:
        """Set up to which number not to vote, where this node's memory of that is lost.

        It may have promised for the number after the newest chosen, which most of the others know of.
        """
        if self.bar is not None or self.beside or round.number != self.number:
            return []
        if len(round.tops) < paxos.majority(round.voters):
            return []
        bar = max(*round.tops.values(), self.number) + 1

        def then(now: float) -> list[Effect]:
            self.bar = bar
            return [
                LogLine(f"fleet: votes again from version {bar + 1} on, its memory of earlier ones is lost")
            ]

        return [self.keep((VotesBarred(bar),), then)]

    def heard(self, now: float, sender: str, say: ReplicationMessage) -> list[Effect]:
        """Take in a note."""
        if type(say) is StatusRequest:
            behind = [SendMessage(sender, StatusRequest(0, self.number))] if say.number > self.number else []
            return self.tell(now, sender, say.seq) + behind
        if type(say) is StatusResponse:
            return self.told(now, sender, say)
        if type(say) is FetchRequest:
            return self.pieces(sender, say)
        if type(say) is Chunk:
            return self.piece(now, sender, say)
        if say.kind in ("prepare", "accept"):
            return self.asked_to_vote(now, sender, say)
        return self.answered(now, sender, say)

    def by_hand(self, why: str | None, wall_ms: float) -> Persist:
        """Shut this node out by an operator's word, or bring it back; holds once it is durable."""

        def then(now: float) -> list[Effect]:
            self.hand = why
            return [LogLine("fleet code=hand: " + (f"out: {why}" if why is not None else "back"))]

        return self.keep((OperatorOverride(why is not None, why or "", wall_ms),), then)
