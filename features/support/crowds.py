"""
Clients that do not behave: what they send, and how they hold on.

All members of a crowd send at the same time, as fast as they are read, and read
nothing. They hold their connections until the crowd leaves.
"""

import itertools
import selectors
import socket
import threading
import time

PIECE_BYTES = 64 * 1024
# A crowd has settled when nobody could send anything for this long.
QUIET_S = 2.5
SETTLE_TIMEOUT_S = 30.0


def head(method, path, host, *headers):
    """Return the head of a request, with its closing blank line."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", *headers]
    return "".join(f"{line}\r\n" for line in lines).encode() + b"\r\n"


def unfinished_body(path, host, size_bytes):
    """Return a request of a stated length, but for its last byte."""
    yield head("POST", path, host, f"Content-Length: {size_bytes}")
    yield from _pieces(size_bytes - 1)


def unfinished_chunks(path, host, size_bytes):
    """Return a request of a body without a length that does not end."""
    yield head("POST", path, host, "Transfer-Encoding: chunked")
    for piece in _pieces(size_bytes):
        yield f"{len(piece):x}\r\n".encode() + piece + b"\r\n"


def whole_body(path, host, size_bytes, *headers):
    """Return a complete request."""
    yield head("POST", path, host, f"Content-Length: {size_bytes}", *headers)
    yield from _pieces(size_bytes)


def smallest_parts(path, host, size_bytes):
    """Return a body that is cut into parts of one byte, and does not end."""
    yield head("POST", path, host, "Transfer-Encoding: chunked")
    parts = PIECE_BYTES // 6
    for _ in range(size_bytes // parts):
        yield parts * b"1\r\nx\r\n"


def repeated(request, total_bytes):
    """Return one request behind another."""
    piece = request * (PIECE_BYTES // len(request))
    yield from itertools.repeat(piece, total_bytes // len(piece))


def _pieces(size_bytes):
    whole, rest = divmod(size_bytes, PIECE_BYTES)
    yield from itertools.repeat(PIECE_BYTES * b"x", whole)
    if rest:
        yield rest * b"x"


class _Member:
    def __init__(self, address, pieces):
        self.pieces = pieces
        self.unsent = memoryview(b"")
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def send(self):
        """Send what the peer accepts; return whether there may be more to send."""
        if not self.unsent:
            self.unsent = memoryview(next(self.pieces, b""))
        if not self.unsent:
            return False
        self.unsent = self.unsent[self.socket.send(self.unsent) :]
        return True


class Crowd:
    """The members of a crowd, which a thread of their own lets send."""

    def __init__(self, address, members):
        """Connect all ``members``, each an iterator of the pieces that it sends."""
        self._members = [_Member(address, pieces) for pieces in members]
        self._left = threading.Event()
        self._moved_at_s = time.monotonic()
        self._sending = len(self._members)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        with selectors.DefaultSelector() as selector:
            for member in self._members:
                selector.register(member.socket, selectors.EVENT_WRITE, member)
            while not self._left.is_set() and selector.get_map():
                for key, _ in selector.select(0.05):
                    if self._may_go_on(key.data):
                        self._moved_at_s = time.monotonic()
                    else:
                        selector.unregister(key.fileobj)
                        self._sending -= 1

    def _may_go_on(self, member):
        try:
            return member.send()
        except BlockingIOError:
            return True
        except OSError:
            # The connection was closed.
            return False

    def settle(self):
        """Wait until all have sent what they have, or nobody can send any more."""
        end_s = time.monotonic() + SETTLE_TIMEOUT_S
        while self._sending and time.monotonic() < end_s:
            if time.monotonic() - self._moved_at_s > QUIET_S:
                return
            time.sleep(0.05)

    def leave(self):
        """Close all connections."""
        self._left.set()
        self._thread.join()
        for member in self._members:
            member.socket.close()
