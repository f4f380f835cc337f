"""A planned restart while a server is still giving a long answer."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from standins import (TROUBLE, CouldNotRun, Discovery, Node, Reader, Server, api_request, connect, run_case,
                      serve_at_once, spawn)

# DAYS: "Answers and bodies of up to 32 MB occur", "written slowly, in pieces cut anywhere".
PIECE = bytes(range(256)) * 200
PIECES = 100
SECONDS_PER_PIECE = 0.1
# PROTOCOL: "SIGKILL comes no sooner than the longest deadline (counted as 3 s where it is longer) and 0.7 s more
# after SIGTERM". The platform of this case gives as much time as the project's own agent (drain-timeout).
KILL_AFTER = 30.0
CLIENTS = 3


def respond(server, stream, request):
    """Gives a long answer piece by piece, without a pause of its own, and short ones at once."""
    txn = request.headers["x-txn"]
    if not txn.startswith("long"):
        return serve_at_once(server, stream, request)
    stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECES * len(PIECE)))
    for number in range(PIECES):
        try:
            stream.sendall(PIECE)
        except OSError as error:
            server.record.line(f"server {server.id}: the node ended {txn} after {number} of {PIECES} pieces: {error}")
            raise
        time.sleep(SECONDS_PER_PIECE)
    server.record.line(f"server {server.id}: gave all of {txn}")
    return None


class LongRequest:
    """A client that reads a long answer as it comes."""

    def __init__(self, record, node, number):
        self.record, self.txn = record, f"long-{number:011d}"
        self.whole = None
        self.began = threading.Event()
        self.stream = connect(node.address)
        self.stream.settimeout(20)
        self.stream.sendall(api_request("GET", "balance", self.txn, f"card-{number}", 2000))
        record.line(f"client: sent {self.txn}")
        self.thread = spawn(self.read)

    def read(self):
        reader = Reader(self.stream)
        first_line, headers = reader.head()
        length = int(headers["content-length"])
        self.record.line(f"client: {self.txn} answered '{first_line}', length {length}")
        self.began.set()
        received = reader.buffer
        try:
            while len(received) < length:
                data = self.stream.recv(65536)
                if not data:
                    break
                received += data
        except OSError as error:
            self.record.line(f"client: {self.txn} broke: {error}")
        self.whole = received == PIECE * PIECES
        self.record.line(f"client: {self.txn} ended after {len(received)} of {length} bytes, "
                         f"{'whole' if self.whole else 'NOT whole'}")


def case(record, processes):
    servers = [Server(f"s-{number:08x}", record, respond) for number in range(8)]
    discovery = Discovery([server.member() for server in servers])
    node = Node(processes, discovery)
    requests = [LongRequest(record, node, number) for number in range(CLIENTS)]
    if not all(request.began.wait(5) for request in requests):
        raise CouldNotRun("a long answer did not begin")
    time.sleep(1.0)
    told_at = time.monotonic()
    if TROUBLE:
        node.process.send_signal(signal.SIGTERM)
        record.line(f"platform: SIGTERM to the node; SIGKILL would come after {KILL_AFTER:.0f} s")
    for request in requests:
        request.thread.join(max(0.0, told_at + KILL_AFTER - time.monotonic()))
    if any(request.whole is None for request in requests):
        raise CouldNotRun("an answer neither ended nor broke before SIGKILL")
    if TROUBLE:
        end = told_at + KILL_AFTER
        while node.process.poll() is None and time.monotonic() < end:
            time.sleep(0.02)
        record.line(f"{time.monotonic() - told_at:.1f} s after SIGTERM the status of the node's process is "
                    f"{node.process.returncode} (None: it runs)")
    return all(request.whole for request in requests)


run_case(FOLDER, case)
