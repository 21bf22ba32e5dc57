"""Which process of a node may send requests of a resource key, where the key's classes are `ordered_by_key`.

The reducer orders the requests of a key within its process. While several processes serve as the node, one of
them holds the key from its first request until its queue of the key has ended; another one's requests of the
key wait in the order of their arrival. Keys are told like correlation ids, of which none has a space.
"""

from collections import deque
from collections.abc import Callable, Container

from marlseam.net.connection import Steps
from marlseam.net.loop import Loop, sleep
from marlseam.net.request_ids import RequestIds

KEY_PREFIX = "key "
MAX_KEY_CHARACTERS = 252  # of a key; of a longer one the end, so that two keys may be taken for one
TURN_RETRY_MS = 5.0  # wait before a retry to hold a key that another process holds


class KeyTurns:
    """The resource keys that this process holds, and the requests that wait for others.

    Attributes:
        queues: returns the keys of which the reducer has a queue.
        held: the keys that this process holds.
        waiting: by key, a token for each request that waits for it, in the order of arrival.

    """

    def __init__(self, loop: Loop, request_ids: RequestIds) -> None:
        self.loop, self.request_ids = loop, request_ids
        self.queues: Callable[[], Container[str]] = set
        self.held: set[str] = set()
        self.waiting: dict[str, deque[object]] = {}

    def wait_for(self, key: str, until_ms: float) -> Steps:
        """Wait until this process holds a key; return False if another one does at `until_ms`."""
        line, token = self.waiting.setdefault(key, deque()), object()
        line.append(token)
        try:
            while line[0] is not token or not self.hold(key):
                if self.loop.now() >= until_ms:
                    return False
                yield from sleep(min(until_ms, self.loop.now() + TURN_RETRY_MS))
            return True
        finally:
            line.remove(token)
            if not line:
                del self.waiting[key]

    def hold(self, key: str) -> bool:
        """Hold a key for this process; return False if another one holds it or may do so."""
        if key in self.held:
            return True
        if not self.request_ids.is_current() or not self.request_ids.take(shared_id(key)):
            return False
        self.held.add(key)
        return True

    def release_ended(self) -> None:
        """Release the keys without a queue in the reducer."""
        queues = self.queues() if self.held else ()
        for key in [key for key in self.held if key not in queues]:
            self.held.discard(key)
            self.request_ids.give_back(shared_id(key))


def shared_id(key: str) -> str:
    """Return the id under which a key is told to other processes."""
    return KEY_PREFIX + key[-MAX_KEY_CHARACTERS:]
