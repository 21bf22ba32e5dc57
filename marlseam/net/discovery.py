"""Discovery client: begins with a configured or saved endpoint list, then fetches and watches the list."""

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

# Time-out of a call beyond its wait, after which the call counts as failed, as a share of the settings'
# `list_max_age_ms`.
CALL_TIMEOUT_SHARE = 0.2
# Upper limits of the time-out of a call beyond its wait: a missed change counts as known after 6 s, or 2 s
# after the wait of a watch. The list is fetched in the remaining time.
MAX_CALL_MS, MAX_WATCH_LATE_MS = 2000.0, 1000.0
# How long the answer to a call for the list is awaited in total, in time-outs of a call; at least MAX_CALL_MS
# whatever the settings.
OVERDUE_TIMEOUT_FACTOR = 3.0
PUSHED_CALL_TIMEOUT_SHARE = 0.5  # time-out of a call if lists are pushed, as a share of the grace period
# Minimum time between two calls of a watch; discovery keeps a watch open for 200 ms without a call.
MAX_WATCH_GAP_MS = 100.0
# Upper limit of the minimum time between two calls of a watch, as a share of the grace period.
WATCH_GAP_SHARE = 0.1
# How long discovery may hold a watch: share of `list_max_age_ms` per node, its minimum and maximum, and the
# maximum in ms.
WATCH_SHARE_PER_NODE, MIN_WATCH_SHARE, MAX_WATCH_SHARE, MAX_WATCH_MS = 0.1, 0.3, 0.5, 60000.0
RESUME_MS = 10.0  # how long discovery may hold the first call of a watch that resumes from a version
# After a connection ends for one of these reasons, another discovery process with its own version numbers may
# have taken over, so the whole list is needed.
RESTART_REASONS = (
    Reason.REFUSED,
    Reason.PEER_RESET,
    Reason.PEER_CLOSED,
    Reason.NO_CONNECT,
    Reason.BAD_MESSAGE,
)


class ListSnapshot(NamedTuple):
    """A saved or handed-over endpoint list: its version, and its entries in discovery's format."""

    version: int
    rows: list[dict[str, Any]]


class Discovery:
    """Follows the endpoint list of discovery; posts failures to the reducer, which schedules the next call.

    Attributes:
        version: version of the held list; -1 before the first list.
        is_confirmed: whether the held list came from discovery itself, not from a file or a handover.
        is_version_live: whether `version` was numbered by the discovery process that is called now.
        entries: the entries of the held list, by server.
        on_answer: called at each answer, with whether the answer changed the list.
        task: the task that follows discovery; None while there is none.
        overdue: tasks of list calls that were posted as failed and may still be answered.
        listed_ms: when the call that returned the held list began, by the loop's clock.
        confirmed_ms: when discovery last answered with the state of the list, by the loop's clock.
        incomplete: whether an entry was left out since the last whole list.
        cancel_reason: reason logged for the connection when the task is cancelled.

    """

    def __init__(
        self, loop: Loop, log: Log, config: Config, upstream: Upstream, post: Callable[[Event], None]
    ) -> None:
        self.loop, self.log, self.upstream, self.post = loop, log, upstream, post
        self.version = -1
        self.is_confirmed = False
        self.cancel_reason = Reason.DRAINING
        self.entries: dict[str, EndpointEntry] = {}
        self.on_answer: Callable[[bool], None] = lambda _changed: None
        self.task: Task | None = None
        self.overdue: set[Task] = set()
        self.listed_ms = -inf
        self.is_version_live = False
        self.starts = StartTimes(loop.clock.from_unix)
        self.confirmed_ms = -inf
        self.incomplete = False
        self.set_config(config)

    def set_config(self, config: Config) -> None:
        """Set the configuration and the time limits that follow from it."""
        self.config = config
        settings = config.deployment.settings
        grace_ms = config.deployment.grace_ms
        self.call_ms = min(CALL_TIMEOUT_SHARE * settings.list_max_age_ms, MAX_CALL_MS)
        if config.deployment.pushed:
            # Guards against a call that began while the discovery agent was down and may never be answered:
            # the changes that the agent has when it returns count as known at once.
            self.call_ms = min(self.call_ms, PUSHED_CALL_TIMEOUT_SHARE * grace_ms)
        self.max_call_ms = max(OVERDUE_TIMEOUT_FACTOR * self.call_ms, MAX_CALL_MS)
        self.min_watch_gap_ms = min(MAX_WATCH_GAP_MS, WATCH_GAP_SHARE * grace_ms)
        # Guards against late detection of a silent watch; nodes of large fleets call less often.
        share = min(max(MIN_WATCH_SHARE, WATCH_SHARE_PER_NODE * settings.node_count), MAX_WATCH_SHARE)
        self.wait_ms = min(share * settings.list_max_age_ms, MAX_WATCH_MS)

    def configure(self, config: Config) -> None:
        """Apply a new configuration; the held list stays in use until discovery returns another one.

        The watch ends if discovery's address or the meaning of entries (zones, kinds) has changed. This is
        posted as a failure, and the reducer starts the next watch at a random time. Guards against a storm of
        calls from many nodes that are reconfigured together.
        """
        before = self.config
        self.set_config(config)
        if not self.is_confirmed:
            self.apply_initial_list()
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

    def apply_initial_list(self, saved: ListSnapshot | None = None, doubt: float = 0.0) -> None:
        """Apply the list in the configuration or a saved list, unless the held list has a later version.

        `doubt` is the chance that an entry of the list is no longer true.
        """
        try:
            answer = self.config.known
            if saved is not None:
                answer = {"seq": saved.version, "whole": True, "hosts": saved.rows}
            is_applied = self.apply_list(answer, cached=True, doubt=doubt)
            # A saved list may come from another discovery; the configured list comes from the configured one.
            self.is_version_live = saved is None and is_applied and not self.is_confirmed
        except MalformedMessageError as error:
            self.log.line(
                "endpoint list of the configuration, the saved state or another process of this node is "
                f"invalid and not used: {error}"
            )

    def watch(self) -> None:
        """Start a task that requests the list and follows its changes, unless one is running."""
        if self.task is None or self.task.done:
            self.task = self.loop.spawn(self.follow())

    def follow(self) -> Coroutine:
        """Fetch the list, then make one watch call after the other until a call fails."""
        connection: Connection | None = None
        reason = Reason.FAULT
        try:
            began_ms = self.loop.now()
            until_ms = began_ms + self.call_ms
            address = self.config.discovery
            connection = yield from connect(self.loop, self.log, address, "discovery", until_ms, True)
            yield from self.fetch(connection, began_ms)
            while True:
                began_ms = self.loop.now()
                target = protocol.watch_target(self.version, self.wait_ms)
                until_ms = began_ms + self.wait_ms + min(self.call_ms, MAX_WATCH_LATE_MS)
                # The wait of a watch is over once its answer begins. Guards against detecting a watch that is
                # cut off within its answer only after the whole wait, which is long in large fleets.
                answer = yield from self.call(connection, target, until_ms, self.call_ms)
                self.confirmed_ms = self.loop.now()  # a watch reports changes as they happen
                if not self.apply_answer(connection, answer):
                    until_ms = self.loop.now() + self.call_ms
                    self.apply_answer(
                        connection, (yield from self.call(connection, protocol.LIST_PATH, until_ms))
                    )
                # Guards discovery against a storm of calls if it answers watches without waiting.
                yield from sleep(began_ms + self.min_watch_gap_ms)
        except ConnectionEndedError as ended:
            reason = ended.reason
        except MalformedMessageError as error:
            self.log.line(
                f"discovery: {error}: answer ignored, any held list stays in use, discovery is called again "
                "after a backoff"
            )
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
                self.post_failure()

    def post_failure(self) -> None:
        """Post to the reducer that the list is not followed now."""
        self.task = None
        self.post(EndpointListUpdate(ListUpdateKind.FAILED, []))

    def fetch(self, connection: Connection, began_ms: float) -> Steps:
        """Call for the list, and apply the answer unless a later call has already returned one.

        If a list of this discovery process is held, only its changes are requested, as the first call of a
        watch. Guards a fleet against overloading discovery: fetching a whole list and then opening a watch
        takes two calls in discovery's queue, and if discovery declines some calls, the nodes that have a list
        would take the place of others with their second call.

        An overdue call is posted as failed, and its answer is still awaited beside the calls that follow.
        Guards a fleet against a discovery that answers more slowly than the call time-out: discovery would
        spend all its time on answers that no node reads.
        """
        task, overdue_calls = self.loop.running_task(), self.overdue

        def mark_overdue() -> None:
            overdue_calls.add(task)
            self.post_failure()

        resumed = self.is_version_live and bool(self.entries) and not self.incomplete
        target = protocol.watch_target(self.version, RESUME_MS) if resumed else protocol.LIST_PATH
        timer = self.loop.call_at(began_ms + self.call_ms, mark_overdue)
        try:
            answer = yield from self.call(connection, target, began_ms + self.max_call_ms)
        finally:
            self.loop.cancel_timer(timer)
        if began_ms < self.listed_ms:
            raise ConnectionEndedError(Reason.DONE)
        self.listed_ms = began_ms
        if not self.apply_answer(connection, answer, resumed):
            # Discovery's version is older than the held one, so discovery has restarted its numbering.
            until_ms = self.loop.now() + self.call_ms
            self.apply_answer(connection, (yield from self.call(connection, protocol.LIST_PATH, until_ms)))
        self.is_version_live = True
        if task in overdue_calls:
            if self.task is not None and not self.task.done:
                raise ConnectionEndedError(Reason.DONE)
            overdue_calls.remove(task)
            self.task = task

    def call(self, connection: Connection, target: str, until_ms: float, answer_ms: float = inf) -> Steps:
        """Make one call and return the decoded answer.

        The call must end by `until_ms`, and at most `answer_ms` after the first byte of its answer.
        """
        host = f"{self.config.discovery[0]}:{self.config.discovery[1]}"
        request = h11.Request(method="GET", target=target, headers=[("Host", host)])
        yield from connection.message(request, b"", until_ms)
        yield from connection.wait_for_first_byte(until_ms)
        until_ms = min(until_ms, self.loop.now() + answer_ms)
        answer = yield from connection.answer(until_ms)
        body = yield from connection.body(protocol.MAX_LIST_BYTES, until_ms)
        if answer.status_code != 200:
            raise ConnectionEndedError(Reason.DECLINED)
        try:
            return json.loads(body)
        except (ValueError, RecursionError):
            raise MalformedMessageError("the answer is not valid JSON") from None

    def apply_answer(self, connection: Connection, answer: Any, resumed: bool = False) -> bool:  # noqa: ANN401
        """Apply an answer, also a connection's last one; return False if it is older than the held list.

        Raises ConnectionEndedError if the answer was the last one on its connection.
        """
        is_applied = self.apply_list(answer, resumed=resumed)
        if not connection.start_next_message():
            raise ConnectionEndedError(Reason.DONE)
        return is_applied

    def convert_starts(self, answer: list_codec.ListAnswer, cached: bool) -> None:
        """Convert the process start times in an answer from Unix time to the loop's clock."""
        now = self.loop.now()
        answer.entries[:] = self.starts.convert_all(
            answer.entries, now, self.confirmed_ms if self.is_confirmed else None
        )
        if not cached:
            self.confirmed_ms = now

    def rows(self) -> list[dict[str, Any]]:
        """Return the held list in discovery's format; servers without an address are left out."""
        servers, deployment = self.upstream.pool.servers, self.config.deployment
        encoded = []
        for name, entry in self.entries.items():
            address = servers[name].address if name in servers else None
            if address is not None:
                as_listed = entry._replace(process_started_ms=self.starts.listed_unix_ms(name))
                encoded.append(list_codec.encode_entry(as_listed, address, deployment))
        return encoded

    def apply_list(self, value: Any, cached: bool = False, doubt: float = 0.0, resumed: bool = False) -> bool:  # noqa: ANN401
        """Apply an answer; return False for a change or a cached list that is older than the held list.

        An empty answer to a resumed watch is not posted: it does not show that a watch lasts, and the
        reducer's back-off must keep growing.
        """
        answer = list_codec.list_answer_from(value, self.config.deployment)
        whole = answer.kind is ListUpdateKind.FULL
        if (not whole or cached) and answer.version < self.version:
            return False
        self.convert_starts(answer, cached)
        self.version, self.is_confirmed = answer.version, not cached
        for host, text in answer.invalid:
            self.log.line(
                f"discovery: entry of host {host[:80] or 'no host'} left out, any earlier valid one stays: "
                f"{text}"
            )
            if whole and host in self.entries:
                answer.entries.append(self.entries[host])  # the last valid entry stays
        self.incomplete = bool(answer.invalid) or (self.incomplete and not whole)
        if whole:
            self.entries.clear()
        for entry in answer.entries:
            if entry.state is EndpointState.GONE:
                self.entries.pop(entry.server, None)
            else:
                self.entries[entry.server] = entry
        self.starts.forget_delisted(self.entries)
        self.upstream.update_endpoints(self.entries, answer.addresses)
        if self.upstream.guard is not None:
            self.upstream.guard.note_endpoints(self.entries, self.loop.now())
        if resumed and not whole and not answer.entries:
            self.on_answer(False)
            return True
        self.post(EndpointListUpdate(ListUpdateKind.CACHED if cached else answer.kind, answer.entries, doubt))
        if not cached:
            self.on_answer(whole or bool(answer.entries))
        return True
