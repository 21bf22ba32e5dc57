"""A fake socket with scripted reads and limited writes, and a server's answer to be read from it."""

import socket

LINES = b'{"id":"9b","from":"e1","state":"started"}\n{"id":"9b","from":"e1","state":"done","result":"r"}\n'
CHUNK = b"%x\r\n%b\r\n" % (len(LINES), LINES)
ANSWER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNK + b"0\r\n\r\n"


class ScriptedSocket:
    """A connected fake socket with scripted reads.

    Attributes:
        replies: the bytes to be read, one item per read; then the peer's end, or nothing if `silent`.
        takes: how many bytes may be written before writes fail with a reset.
        silent: whether reads block instead of returning the peer's end after the replies.
        piece: maximum number of bytes per write; if limited, every second write raises BlockingIOError.
        blocks: whether the last write raised BlockingIOError.
        pair: real sockets, for a descriptor that the loop can wait for.
        sent: the bytes that were written.
        open: whether the socket has not been closed.
        upon_send: replies that become readable after the next write.

    """

    def __init__(
        self,
        replies: tuple[bytes, ...] = (),
        takes: int = 1 << 30,
        silent: bool = False,
        piece: int = 1 << 30,
    ) -> None:
        self.replies, self.takes, self.silent, self.piece = list(replies), takes, silent, piece
        self.blocks = piece < 1 << 30
        self.pair = socket.socketpair()
        self.sent, self.open = b"", True
        self.upon_send: list[bytes] = []

    def fileno(self) -> int:
        return self.pair[0].fileno()

    def send(self, data: memoryview) -> int:
        self.blocks = not self.blocks and self.piece < 1 << 30
        if self.blocks:
            raise BlockingIOError
        count = min(len(data), self.piece, self.takes - len(self.sent))
        if not count:
            raise ConnectionResetError
        self.sent += bytes(data[:count])
        self.replies += self.upon_send
        self.upon_send = []
        return count

    def recv_into(self, buffer: memoryview) -> int:
        if not self.replies:
            if self.silent:
                raise BlockingIOError
            return 0
        data = self.replies[0][: len(buffer)]
        self.replies[0] = self.replies[0][len(data) :]
        if not self.replies[0]:
            del self.replies[0]
        buffer[: len(data)] = data
        return len(data)

    def shutdown(self, _how: int) -> None:
        """Do nothing: no test depends on the end of the sending side."""

    def close(self) -> None:
        self.open = False
        for end in self.pair:
            end.close()
