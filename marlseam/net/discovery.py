"""Discovery: the list that the node was given, then the whole list and a watch on its changes."""

import json
from collections.abc import Callable
from math import inf
from typing import Any, NamedTuple

import h11

from marlseam.configuration import Config
from marlseam.core import EndpointEntry, EndpointListUpdate, Event
from marlseam.decisions.types import EndpointState, ListUpdateKind
from marlseam.net import list_codec, protocol
from marlseam.net.connection import Connection, Steps, connect
from marlseam.net.errors import ConnectionEndedError, MalformedMessageError
from marlseam.net.log import Log, Reason
from marlseam.net.loop import Cancelled, Coroutine, Loop, Task, sleep
from marlseam.net.server_start_times import StartTimes
from marlseam.net.upstream import Upstream

# How long a call may take beyond its wait before it counts as failed, in times after which one must ask.
CALL_TIMEOUT_SHARE = 0.2
# At most, of the 6 s after which what is missed counts as told, and of the 2 s that this takes after the wait
# of a watch: the list is fetched in the rest.
MAX_CALL_MS, MAX_WATCH_LATE_MS = 2000.0, 1000.0
# How long a call for the list is listened to in all, in times after which it counts as failed; at least as
# long as a call may take at most, whatever the settings.
OVERDUE = 3.0
PUSHED_CALL_TIMEOUT_SHARE = 0.5  # likewise where lists are pushed, in times within which sends have to stop
MAX_WATCH_GAP_MS = 100.0  # least time between two calls of a watch, which goes on for 200 ms without one
WATCH_GAP_SHARE = 0.1  # or less, likewise
# How long discovery may hold a watch, likewise: for each node, at least and at most, and in all.
WATCH_SHARE_PER_NODE, MIN_WATCH_SHARE, MAX_WATCH_SHARE, MAX_WATCH_MS = 0.1, 0.3, 0.5, 60000.0
RESUME_MS = 10.0  # how long discovery may hold the first call of a watch that resumes from a version
# After these the process that numbers versions may be another, which numbers anew: the whole list is needed.
RESTART_REASONS = (
    Reason.REFUSED,
    Reason.PEER_RESET,
    Reason.PEER_CLOSED,
    Reason.NO_CONNECT,
    Reason.BAD_MESSAGE,
)


class ListSnapshot(NamedTuple):
    """An endpoint list that was saved or handed over: its version and entries as discovery writes them."""

    version: int
    rows: list[dict[str, Any]]


class Discovery:
    """Follows discovery while it can; a failure is posted to the reducer, which says when to ask again.

    Attributes:
        version: of the list that is held; -1 before the first.
        is_confirmed: whether discovery itself has told the list that is held.
        is_version_live: whether `version` is a number of the discovery that is called.
        held: the endpoint list, by server.
        on_answer: called at each answer with whether it changed the list.
        task: that follows discovery; None while nothing does.
        overdue: calls for the list that were posted as failed and may yet be answered.
        listed_ms: when the call began that brought the list.
        confirmed_ms: when discovery last said something of the list.
        incomplete: whether an entry was left out since the last whole list.
        cancel_reason: with which the connection ends when the task is cancelled.

    """

    def __init__(
        self, loop: Loop, log: Log, config: Config, upstream: Upstream, post: Callable[[Event], None]
    ) -> None:
        self.loop, self.log, self.upstream, self.post = loop, log, upstream, post
        self.version = -1
        self.is_confirmed = False
        self.cancel_reason = Reason.DRAINING
        self.held: dict[str, EndpointEntry] = {}
        self.on_answer: Callable[[bool], None] = lambda _changed: None
        self.task: Task | None = None
        self.overdue: set[Task] = set()
        self.listed_ms = -inf
        self.is_version_live = False
        self.starts = StartTimes(loop.clock.from_unix)
        self.confirmed_ms = -inf
        self.incomplete = False
        self.set(config)

    def set(self, config: Config) -> None:
        """Note a configuration."""
        self.config = config
        settings = config.deployment.settings
        grace_ms = config.deployment.grace_ms
        self.call_ms = min(CALL_TIMEOUT_SHARE * settings.list_max_age_ms, MAX_CALL_MS)
        if config.deployment.pushed:
            # Guards against a call begun while the agent was down, which may never be answered: what the
            # agent has at its return counts as told at once.
            self.call_ms = min(self.call_ms, PUSHED_CALL_TIMEOUT_SHARE * grace_ms)
        self.max_call_ms = max(OVERDUE * self.call_ms, MAX_CALL_MS)
        self.min_watch_gap_ms = min(MAX_WATCH_GAP_MS, WATCH_GAP_SHARE * grace_ms)
        # Guards against a watch that falls silent and is missed for long; large fleets make fewer calls each.
        share = min(max(MIN_WATCH_SHARE, WATCH_SHARE_PER_NODE * settings.node_count), MAX_WATCH_SHARE)
        self.wait_ms = min(share * settings.list_max_age_ms, MAX_WATCH_MS)

    def configure(self, config: Config) -> None:
        """Take in a new configuration; the list that is held serves until discovery has told another.

        The watch ends where its address or what entries mean has changed, and the module, told so, begins the
        next at a time of its own chance. Guards against a storm from many nodes that are told together.
        """
        before = self.config
        self.set(config)
        if not self.is_confirmed:
            self.begin()
        old, new = before.deployment, config.deployment
        if before.discovery == config.discovery and (old.zones, old.kinds) == (new.zones, new.kinds):
            return
        self.cancel_reason = Reason.FORGOTTEN
        self.is_version_live = False
        for task in tuple(self.overdue):
            task.cancel()
        if self.task is None or self.task.done:
            self.post(EndpointListUpdate(ListUpdateKind.FAILED, []))
        else:
            self.task.cancel()
        self.cancel_reason = Reason.DRAINING

    def begin(self, saved: ListSnapshot | None = None, doubt: float = 0.0) -> None:
        """Take in the list that the configuration holds, or another that was saved.

        Unless one as new is held.
        """
        try:
            answer = self.config.known
            if saved is not None:
                answer = {"seq": saved.version, "whole": True, "hosts": saved.rows}
            held = self.take(answer, cached=True, doubt=doubt)
            # What was saved may be of another discovery; what the configuration holds is of this one.
            self.is_version_live = saved is None and held and not self.is_confirmed
        except MalformedMessageError as error:
            self.log.line(f"the list in the configuration: {error}")

    def watch(self) -> None:
        """Ask for the list and follow its changes, unless that is under way."""
        if self.task is None or self.task.done:
            self.task = self.loop.spawn(self.follow())

    def follow(self) -> Coroutine:
        """Bring the list up to date, then watch back to back until a call fails."""
        connection: Connection | None = None
        reason = Reason.FAULT
        try:
            began = self.loop.now()
            until = began + self.call_ms
            address = self.config.discovery
            connection = yield from connect(self.loop, self.log, address, "discovery", until, True)
            yield from self.fetch(connection, began)
            while True:
                began = self.loop.now()
                target = protocol.watch_target(self.version, self.wait_ms)
                until = began + self.wait_ms + min(self.call_ms, MAX_WATCH_LATE_MS)
                # A watch's wait is over once its answer begins. Guards against one that is cut off in it and
                # missed only after all of its wait, which is long in large fleets.
                answer = yield from self.call(connection, target, until, self.call_ms)
                self.confirmed_ms = self.loop.now()  # what it tells has changed just now
                if not self.heed(connection, answer):
                    until = self.loop.now() + self.call_ms
                    self.heed(connection, (yield from self.call(connection, protocol.LIST_PATH, until)))
                # Guards discovery against a storm of calls where it answers watches without waiting.
                yield from sleep(began + self.min_watch_gap_ms)
        except ConnectionEndedError as ended:
            reason = ended.reason
        except MalformedMessageError as error:
            self.log.line(f"discovery: {error}")
            reason = Reason.BAD_MESSAGE
        except Cancelled:
            reason = self.cancel_reason
            raise
        finally:
            self.is_version_live = self.is_version_live and reason not in RESTART_REASONS
            if connection is not None:
                connection.close(reason)
            if self.loop.current in self.overdue:
                self.overdue.remove(self.loop.current)
            else:
                self.fail()

    def fail(self) -> None:
        """Tell that the list is not followed now."""
        self.task = None
        self.post(EndpointListUpdate(ListUpdateKind.FAILED, []))

    def fetch(self, connection: Connection, began: float) -> Steps:
        """Call for the list, and take it in unless a later call has brought one.

        Where a list of this discovery is held, its changes since are asked for, as the first call of a watch.
        Guards a fleet against itself: a whole list and then a new watch take two turns of discovery's, and
        where it declines some, those that get a list keep the others from one by asking for a watch again.

        A call that is overdue is told as failed, and still listened to beside those that follow it. Guards a
        fleet against a discovery that answers more slowly than calls are given up: all its time would go
        into answers that nobody waits for.
        """
        task, over = self.loop.running_task(), self.overdue

        def give_up() -> None:
            over.add(task)
            self.fail()

        resumed = self.is_version_live and bool(self.held) and not self.incomplete
        target = protocol.watch_target(self.version, RESUME_MS) if resumed else protocol.LIST_PATH
        timer = self.loop.at(began + self.call_ms, give_up)
        try:
            answer = yield from self.call(connection, target, began + self.max_call_ms)
        finally:
            self.loop.drop(timer)
        if began < self.listed_ms:
            raise ConnectionEndedError(Reason.DONE)
        self.listed_ms = began
        if not self.heed(connection, answer, resumed):
            # What discovery has is older than what is held: it has begun to number anew.
            until = self.loop.now() + self.call_ms
            self.heed(connection, (yield from self.call(connection, protocol.LIST_PATH, until)))
        self.is_version_live = True
        if task in over:
            if self.task is not None and not self.task.done:
                raise ConnectionEndedError(Reason.DONE)
            over.remove(task)
            self.task = task

    def call(self, connection: Connection, target: str, until: float, within: float = inf) -> Steps:
        """Make one call, which ends at some time, or so long after its answer began; return what it says."""
        host = f"{self.config.discovery[0]}:{self.config.discovery[1]}"
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        yield from connection.message(request, b"", until)
        yield from connection.wait_for_first_byte(until)
        until = min(until, self.loop.now() + within)
        answer = yield from connection.answer(until)
        body = yield from connection.body(protocol.MAX_LIST_BYTES, until)
        if answer.status_code != 200:
            raise ConnectionEndedError(Reason.DECLINED)
        try:
            return json.loads(body)
        except (ValueError, RecursionError):
            raise MalformedMessageError("the answer is no JSON") from None

    def heed(self, connection: Connection, answer: Any, resumed: bool = False) -> bool:  # noqa: ANN401
        """Take in a whole answer, also a connection's last, and return whether it follows on what is held."""
        fits = self.take(answer, resumed=resumed)
        if not connection.start_next_message():
            raise ConnectionEndedError(Reason.DONE)
        return fits

    def place_starts(self, answer: list_codec.ListAnswer, cached: bool) -> None:
        """Bring the starts of servers in an answer onto the node's clock."""
        now = self.loop.now()
        answer.entries[:] = self.starts.place_all(
            answer.entries, now, self.confirmed_ms if self.is_confirmed else None
        )
        if not cached:
            self.confirmed_ms = now

    def rows(self) -> list[dict[str, Any]]:
        """Return the list as it is held, as discovery writes it; servers without an address are left out."""
        servers, deployment = self.upstream.pool.servers, self.config.deployment
        found = []
        for name, entry in self.held.items():
            address = servers[name].address if name in servers else None
            if address is not None:
                as_listed = entry._replace(process_started_ms=self.starts.listed_unix_ms(name))
                found.append(list_codec.row_of(as_listed, address, deployment))
        return found

    def take(self, value: Any, cached: bool = False, doubt: float = 0.0, resumed: bool = False) -> bool:  # noqa: ANN401
        """Take in an answer; a change that is older than what is held does not fit, and is left.

        One that resumes and brings nothing new is not told: it shows no watch that lasts, so that rests grow.
        """
        answer = list_codec.list_answer_from(value, self.config.deployment)
        whole = answer.kind is ListUpdateKind.FULL
        if (not whole or cached) and answer.version < self.version:
            return False
        self.place_starts(answer, cached)
        self.version, self.is_confirmed = answer.version, not cached
        for host, text in answer.invalid:
            self.log.line(f"discovery: entry of {host[:80] or 'no host'} left out: {text}")
            if whole and host in self.held:
                answer.entries.append(self.held[host])  # what was last good of it stays
        self.incomplete = bool(answer.invalid) or (self.incomplete and not whole)
        if whole:
            self.held.clear()
        for entry in answer.entries:
            if entry.state is EndpointState.GONE:
                self.held.pop(entry.server, None)
            else:
                self.held[entry.server] = entry
        self.starts.forget_delisted(self.held)
        self.upstream.update_endpoints(self.held, answer.addresses)
        if self.upstream.guard is not None:
            self.upstream.guard.note_endpoints(self.held, self.loop.now())
        if resumed and not whole and not answer.entries:
            self.on_answer(False)
            return True
        self.post(EndpointListUpdate(ListUpdateKind.CACHED if cached else answer.kind, answer.entries, doubt))
        if not cached:
            self.on_answer(whole or bool(answer.entries))
        return True
