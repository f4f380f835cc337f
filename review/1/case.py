"""Long answers that clients read at the rate of the slowest clients of the platform."""

import hashlib
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from standins import (TROUBLE, CouldNotRun, Discovery, Node, Reader, Server, api_request, connect, run_case,
                      serve_at_once, spawn)

# DAYS: "Answers and bodies of up to 32 MB occur", "a body at 64 kB a second".
ANSWER_BYTES = 12 << 20
SLOW_BYTES_PER_SECOND = 66_000
# The client reads slowly for this long, and then as fast as it can, so that the script ends in time.
SLOW_SECONDS = 30.0
PIECE = bytes(range(256)) * 256
CLIENTS = 3


def answer_body():
    return (PIECE * (ANSWER_BYTES // len(PIECE) + 1))[:ANSWER_BYTES]


BODY = answer_body()


def respond(server, stream, request):
    """Serves a long answer as fast as the node takes it, and short ones at once."""
    if not request.headers["x-txn"].startswith("long"):
        return serve_at_once(server, stream, request)
    stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES)
    written = 0
    try:
        while written < ANSWER_BYTES:
            written += stream.send(BODY[written:written + len(PIECE)])
        server.record.line(f"server {server.id}: wrote all {written} bytes of {request.headers['x-txn']}")
    except OSError as error:
        server.record.line(f"server {server.id}: the node ended {request.headers['x-txn']} after taking {written} "
                           f"bytes: {error}")
        raise
    return None


class LongRequest:
    """A client that reads a long answer."""

    def __init__(self, record, node, number):
        self.record, self.txn = record, f"long-{number:011d}"
        self.whole = None
        self.stream = connect(node.address)
        self.stream.settimeout(20)
        self.stream.sendall(api_request("GET", "balance", self.txn, f"card-{number}", 2000))
        record.line(f"client: sent {self.txn}")
        self.thread = spawn(self.read)

    def read(self):
        reader = Reader(self.stream)
        first_line, headers = reader.head()
        self.record.line(f"client: {self.txn} answered '{first_line}', length {headers.get('content-length')}")
        digest, received = hashlib.sha256(reader.buffer), len(reader.buffer)
        began = time.monotonic()
        next_line = 5.0
        try:
            while received < ANSWER_BYTES:
                data = self.stream.recv(8192)
                if not data:
                    break
                digest.update(data)
                received += len(data)
                elapsed = time.monotonic() - began
                if elapsed >= next_line:
                    next_line += 5.0
                    self.record.line(f"client: {self.txn} has read {received} bytes in {elapsed:.1f} s")
                ahead = received / SLOW_BYTES_PER_SECOND - elapsed
                if TROUBLE and elapsed < SLOW_SECONDS and ahead > 0:
                    time.sleep(ahead)
        except OSError as error:
            self.record.line(f"client: {self.txn} broke: {error}")
        self.whole = received == ANSWER_BYTES and digest.digest() == hashlib.sha256(BODY).digest()
        self.record.line(f"client: {self.txn} ended after {received} of {ANSWER_BYTES} bytes, "
                         f"{'whole' if self.whole else 'NOT whole'}")


def short_requests(node, record, stop, statuses):
    """Ordinary traffic beside the long answers."""
    number = 0
    stream = connect(node.address)
    reader = Reader(stream)
    while not stop.is_set():
        number += 1
        stream.sendall(api_request("GET", "balance", f"short-{number:010d}", f"card-{number % 700}", 2000))
        statuses.append(reader.message().status)
        time.sleep(0.1)


def case(record, processes):
    servers = [Server(f"s-{number:08x}", record, respond) for number in range(8)]
    discovery = Discovery([server.member() for server in servers])
    node = Node(processes, discovery)
    stop, statuses = threading.Event(), []
    spawn(short_requests, node, record, stop, statuses)
    time.sleep(1.0)
    requests = [LongRequest(record, node, number) for number in range(CLIENTS)]
    for request in requests:
        request.thread.join(90)
    stop.set()
    if node.process.poll() is not None or any(request.whole is None for request in requests):
        raise CouldNotRun("the node or a client ended early")
    record.line(f"beside them {statuses.count(200)} of {len(statuses)} short requests were served")
    return all(request.whole for request in requests)


run_case(FOLDER, case)
