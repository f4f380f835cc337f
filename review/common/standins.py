"""Stand-ins for the platform, discovery, servers and clients, for the cases of this review.

Standard library only. Every address is 127.0.0.1 with a free port. The node is started as a
separate process by the `run` command of deploy/balancer.toml.
"""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """record.txt of a case: one line per event, with the time since the start of the script in seconds."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


def request_class(name, semantics, aim_ms, deadline_ms, points, late_share):
    return {"name": name, "semantics": semantics, "aim": aim_ms * 1000, "deadline": deadline_ms * 1000,
            "points": points, "late-share": late_share, "key-scope": "all", "key-ttl": 5_000_000, "stream": False}


def settings():
    """The settings of bilbao-main, as WIRE shows them in the first message of an instance."""
    return {
        "group-size": 2, "me": 0, "family": "proxy", "locality": "bilbao", "zones": ["bilbao", "santander"],
        "kinds": ["fast", "standard", "slow"], "tier": 0, "tiers": ["points-api"], "tenants": [],
        "registry-mode": "push", "weight-source": "rough", "worth-by": "work", "granularity": 5000,
        "over-share-worth": 0.1,
        "classes": [
            request_class("balance", "safe", 500, 2000, 1.0, 0.25),
            request_class("earn", "unsafe", 400, 800, 2.0, 0.3),
            request_class("redeem", "unsafe", 1200, 3000, 3.0, 0.5),
        ],
        "bounds": {"cancelling": True, "cpu-us-per-request": 0.0, "cpu-us-per-s": 8000, "dial-timeout": 200_000,
                   "keepalive": 5_000_000, "max-attempts": 6, "max-retry-after": 2_000_000, "max-streams": 1,
                   "may-probe": True, "open-cap": 20000, "peer-messages": False, "retry-after": True,
                   "second-copies": True},
        "clients": {"marks-retry": False},
        "deductions": {"connection": 0.0, "cross-zone": 0.039, "handshake": 0.0, "late-fail": 0.082, "moves": 0.0,
                       "origin": 0.0, "peer": 0.0, "probe": 0.01, "registry-mode": 0.0, "waste": 0.04},
        "domain": {"warm-keys": True},
        "report": {"fields": "", "how": "off"},
        "rules": {"answer-slack": 20000, "ask-within": 10_000_000, "fall-multiple": 3.0, "overload-for": 3_000_000,
                  "ramp-time": 23_000_000, "start-capacity": 0.13, "stop-sending-within": 750_000},
        "scoring-mix": {"whole": 0.55, "worst-class": 0.3, "worst-tenant": 0.0, "worst-window": 0.15},
    }


def listen(backlog=128):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", 0))
    listener.listen(backlog)
    return listener


def address_of(listener):
    return "%s:%d" % listener.getsockname()


def free_address():
    """An address that nobody listens on now, below the ports that the system gives to outgoing connections."""
    for _ in range(1000):
        port = random.randrange(14_000, 32_000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as probe:
                    probe.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"
        except OSError:
            continue
    raise CouldNotRun("no free port")


def connect(address, timeout=5.0):
    host, port = address.rsplit(":", 1)
    stream = socket.create_connection((host, int(port)), timeout=timeout)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return stream


def spawn(target, *arguments):
    thread = threading.Thread(target=target, args=arguments, daemon=True)
    thread.start()
    return thread


class Message:
    """An HTTP/1.1 request or response as read from a socket."""

    def __init__(self, first_line, headers, body):
        self.first_line, self.headers, self.body = first_line, headers, body

    @property
    def status(self):
        return int(self.first_line.split(" ")[1])


class Reader:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, stream):
        self.stream, self.buffer = stream, b""

    def _more(self):
        data = self.stream.recv(65536)
        if not data:
            raise EOFError("the connection ended")
        self.buffer += data

    def _until(self, mark):
        while mark not in self.buffer:
            self._more()
        head, self.buffer = self.buffer.split(mark, 1)
        return head

    def _exactly(self, count):
        while len(self.buffer) < count:
            self._more()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def head(self):
        lines = self._until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def body(self, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int(self._until(b"\r\n").split(b";")[0], 16)
                chunk = self._exactly(size + 2)[:size]
                if size == 0:
                    return body
                body += chunk
        return self._exactly(int(headers.get("content-length", "0")))

    def message(self):
        first_line, headers = self.head()
        return Message(first_line, headers, self.body(headers))


class Discovery:
    """The agent of discovery on the node's machine, as PROTOCOL describes it."""

    def __init__(self, members, revision=41):
        self.members = {member["id"]: dict(member) for member in members}
        self.revision = revision
        self.changed = threading.Condition()
        self.log = []  # (revision, members changed by it)
        self.listener = listen()
        self.address = address_of(self.listener)
        spawn(self._accept)

    def update(self, *members):
        """Tells changes to all watches."""
        with self.changed:
            self.revision += 1
            for member in members:
                if member["phase"] == "terminated":
                    self.members.pop(member["id"], None)
                else:
                    self.members[member["id"]] = dict(member)
            self.log.append((self.revision, [dict(member) for member in members]))
            self.changed.notify_all()

    def whole(self):
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def _accept(self):
        while True:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            spawn(self._serve, stream)

    def _serve(self, stream):
        try:
            first_line, _ = Reader(stream).head()
            if "stream=1" not in first_line:
                body = json.dumps(self.whole()).encode()
                stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            found = re.search(r"index=(\d+)", first_line)
            told = int(found.group(1)) if found else 0
            stream.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            with self.changed:
                if told != self.revision:
                    self._chunk(stream, self.whole())
                    told = self.revision
            self._chunk(stream, None)
            while True:
                with self.changed:
                    if self.revision == told:
                        self.changed.wait(2.0)
                    news = [entry for entry in self.log if entry[0] > told]
                    told = self.revision
                if not news:
                    self._chunk(stream, None)
                for revision, members in news:
                    self._chunk(stream, {"revision": revision, "complete": False, "members": members})
        except (OSError, EOFError):
            pass
        finally:
            stream.close()

    @staticmethod
    def _chunk(stream, value):
        data = (json.dumps(value) if value is not None else "").encode() + b"\n"
        stream.sendall(b"%x\r\n" % len(data) + data + b"\r\n")


class Server:
    """An api server. `respond(server, stream, request)` answers an /api request; without one, it serves it at once."""

    def __init__(self, name, record, respond=None):
        self.id, self.record, self.respond = name, record, respond
        self.runs = []  # (time, X-Txn) of each request whose last byte came
        self.listener = listen()
        self.address = address_of(self.listener)
        spawn(self._accept)

    def member(self, phase="in_service", up_since_ms=0):
        return {"id": self.id, "host_port": self.address, "locality": "bilbao", "flavor": "standard", "cell": 0,
                "phase": phase, "size": 1.0, "up_since_ms": up_since_ms}

    def _accept(self):
        while True:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            spawn(self._serve, stream)

    def _serve(self, stream):
        reader = Reader(stream)
        try:
            while True:
                request = reader.message()
                if "/-/healthy" in request.first_line:
                    stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    continue
                txn = request.headers.get("x-txn")
                if txn is None:
                    stream.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.runs.append((self.record.now(), txn))
                self.record.line(f"server {self.id}: request {txn} complete")
                (self.respond or serve_at_once)(self, stream, request)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            stream.close()


def serve_at_once(server, stream, request):
    body = ("served " + request.headers["x-txn"]).encode()
    stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


def deploy_command(key):
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(r'^%s = "(.*)"' % key, file.read(), re.MULTILINE)
    if not found:
        raise CouldNotRun(f"deploy/balancer.toml has no {key}")
    return found.group(1)


class Processes:
    """All processes of a case and its temporary folder; `end` ends and removes them."""

    def __init__(self, record):
        self.record, self.started = record, []
        self.folder = tempfile.mkdtemp(prefix="review-")

    def start(self, command, environment, log):
        """Starts a command line by /bin/sh -c from the root, as the platform does."""
        with open(os.path.join(self.folder, log), "ab") as output:
            process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                       stdout=output, stderr=output, start_new_session=True)
        self.started.append(process)
        return process

    def end(self):
        for process in self.started:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        # Nodes that agents of this case started: their environment names the temporary folder.
        for pid in filter(str.isdigit, os.listdir("/proc")):
            try:
                with open(f"/proc/{pid}/environ", "rb") as file:
                    if f"BALANCER_AGENT_STATE={self.folder}".encode() in file.read():
                        os.kill(int(pid), signal.SIGKILL)
            except OSError:
                pass
        shutil.rmtree(self.folder, ignore_errors=True)


class Node:
    """A node, started by the `run` command of the deploy file."""

    def __init__(self, processes, discovery, name="n1", operator=False, limits=None, change=None):
        self.address = free_address()
        self.operator = free_address() if operator else None
        self.name = name
        folder = os.path.join(processes.folder, name)
        os.makedirs(os.path.join(folder, "tmp"))
        config = {
            "name": name, "listen": self.address, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.whole(), "settings": settings(),
        }
        if self.operator:
            config["operator"] = self.operator
        if change:
            change(config)
        path = os.path.join(folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        environment = {"PATH": os.environ.get("PATH", ""), "BALANCER_NAME": name, "BALANCER_LISTEN": self.address,
                       "BALANCER_DISCOVERY": discovery.address, "BALANCER_CONFIG": path,
                       "TMPDIR": os.path.join(folder, "tmp")}
        if self.operator:
            environment["BALANCER_OPERATOR"] = self.operator
        program = os.path.join(ROOT, "target", "release", "load-balancer")
        if not os.path.exists(program):
            raise CouldNotRun("the build of the deploy file has not run")
        self.process = processes.start(deploy_command("run"), environment, f"{name}.log")
        processes.record.line(f"node {name} started")
        self.wait_until_ready()

    def wait_until_ready(self):
        end = time.monotonic() + 10
        while time.monotonic() < end:
            try:
                if exchange(self.address, b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", 1.0).status == 200:
                    return
            except (OSError, EOFError):
                pass
            time.sleep(0.02)
        raise CouldNotRun(f"node {self.name} is not ready after 10 s")


def exchange(address, request, timeout):
    """Sends a request on a new connection and returns the answer."""
    with connect(address, timeout) as stream:
        stream.settimeout(timeout)
        stream.sendall(request)
        return Reader(stream).message()


def api_request(method, lane, txn, key, remaining_ms, body=b""):
    lines = [f"{method} /api?key={key} HTTP/1.1", "Host: service.internal", f"X-Txn: {txn}", f"X-Lane: {lane}",
             f"X-Remaining-Ms: {remaining_ms}"]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


AGENT_PROGRAM = os.path.join(ROOT, "target", "release", "balancer-agent")


class Agent:
    """An agent with its node. The agent starts the node by the `run` command of the deploy file."""

    def __init__(self, processes, discovery, name, addresses, voters):
        self.processes, self.name = processes, name
        self.address, self.operator, self.node_operator = free_address(), free_address(), free_address()
        self.folder = os.path.join(processes.folder, name)
        os.makedirs(self.folder)
        config = {
            "name": name, "listen": self.address, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.whole(), "settings": settings(),
        }
        with open(os.path.join(self.folder, "node.json"), "w", encoding="utf-8") as file:
            json.dump(config, file)
        seeds = ", ".join(f'"{address}"' for address in addresses.values())
        names = ", ".join(f'"{voter}"' for voter in voters)
        command = json.dumps(["/bin/sh", "-c", f"cd '{ROOT}' && {deploy_command('run')}"])
        text = f"""
fleet = "bilbao-main"
name = "{name}"
zone = "bilbao"
state-dir = "{self.folder}/state"
[membership]
listen = "{addresses[name]}"
seeds = [{seeds}]
[operators]
listen = "{self.operator}"
[coordinator]
voters = [{names}]
[node]
command = {command}
config = "{self.folder}/node.json"
listen = "{self.address}"
operators = "{self.node_operator}"
"""
        self.config = os.path.join(self.folder, "agent.toml")
        with open(self.config, "w", encoding="utf-8") as file:
            file.write(text)
        if not os.path.exists(AGENT_PROGRAM):
            raise CouldNotRun("review/build.sh has not run")
        self.environment = {"PATH": os.environ.get("PATH", "")}
        init = processes.start(f"exec '{AGENT_PROGRAM}' voter-init --config '{self.config}'", self.environment,
                               f"{name}-init.log")
        if init.wait(20) != 0:
            raise CouldNotRun(f"voter-init of {name} failed")
        self.start()

    def start(self):
        self.process = self.processes.start(f"exec '{AGENT_PROGRAM}' run --config '{self.config}'", self.environment,
                                            f"{self.name}.log")
        self.processes.record.line(f"agent {self.name} started")

    def node_pid(self):
        with open(os.path.join(self.folder, "state", "node.pid"), encoding="utf-8") as file:
            return json.load(file)["pid"]

    def roles(self):
        return json.loads(call(self.operator, "GET", "/duties").body)


def call(address, method, path, timeout=5.0):
    """An operator's call, one to a connection."""
    return exchange(address, f"{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode(), timeout)


def wait_until(what, condition, timeout=15.0):
    """Waits until `condition` returns a true value and returns it."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        try:
            value = condition()
            if value:
                return value
        except (OSError, EOFError, ValueError, KeyError):
            pass
        time.sleep(0.02)
    raise CouldNotRun(f"not within {timeout:.0f} s: {what}")


def ready(address):
    return exchange(address, b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", 1.0).status == 200


def start_fleet(processes, discovery, names):
    """Starts agents with nodes, all of them voters, and waits until all nodes are ready and all roles are held."""
    addresses = {name: free_address() for name in names}
    agents = {name: Agent(processes, discovery, name, addresses, names) for name in names}
    for agent in agents.values():
        wait_until(f"node of {agent.name} is ready", lambda agent=agent: ready(agent.address))
        wait_until(f"{agent.name} knows a holder of each role", lambda agent=agent: all(
            role.get("holder") for role in agent.roles()["duties"]))
    return agents



def run_case(folder, case):
    """Runs `case(record, processes)`, which returns whether the rule held, and exits as the issue asks."""
    record = Record(folder)
    processes = Processes(record)

    def end_early(*_):
        processes.end()
        os._exit(NOT_RUN)

    signal.signal(signal.SIGTERM, end_early)
    record.line("with the disruption" if TROUBLE else "TROUBLE=0: without the disruption")
    try:
        held = case(record, processes)
        record.line("the rule held" if held else "the rule was BROKEN")
        code = HELD if held else BROKEN
    except Exception as error:  # Anything unexpected says nothing about the rule.
        record.line(f"the case could not run: {type(error).__name__}: {error}")
        code = NOT_RUN
    finally:
        processes.end()
    print(open(record.file.name, encoding="utf-8").read().splitlines()[-1])
    os._exit(code)
