"""Starts instances of the project on loopback addresses, with small stand-ins of
the platform, the operator, runners and clients. Used by the cases' scripts.

Everything runs in a temporary folder; stop() ends what was started, by its id.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.environ.get("PROGRAM") or os.path.join(REPOSITORY, "target/src/program/cuminslip")


class CouldNotRun(Exception):
    """The case could not be set up; says nothing of the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def say(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


def wait_until(check, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return
        time.sleep(0.05)
    raise CouldNotRun("timed out: " + what)


class Instance:
    """One process of the project; stays at its address when started again."""

    def __init__(self, lab, name, host, role):
        self.lab, self.name, self.host, self.role = lab, name, host, role
        self.process = None
        self.log = os.path.join(lab.folder, name + ".log")
        self.settings = os.path.join(lab.folder, name + ".yaml")

    def start(self, may_found=False):
        self.lab.write_settings(self, may_found)
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(
                [PROGRAM, "serve", "--settings", self.settings],
                cwd=REPOSITORY, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.lab.record.say(f"start {self.name} pid {self.process.pid}")

    def signal(self, number):
        self.lab.record.say(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def is_ready(self):
        try:
            link = http.client.HTTPConnection(self.host, self.lab.ready_port, timeout=1)
            link.request("GET", "/api/readyz")
            return link.getresponse().status == 200
        except OSError:
            return False


class Lab:
    def __init__(self, folder, edges=1, cores=3, zones=("a",)):
        if not os.access(PROGRAM, os.X_OK):
            raise CouldNotRun("the program is not built: " + PROGRAM)
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="cuminslip-review-")
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        base = random.randint(10000, 19000)
        self.peer_port, self.relay_port = base, base + 1
        self.front_port, self.control_port, self.ready_port = base + 2, base + 3, base + 4
        self.runner_port = base + 5
        self.cores = [Instance(self, f"core-{n}", f"{self.net}.{10 + n}", "core") for n in range(cores)]
        self.edges = [Instance(self, f"edge-{n}", f"{self.net}.{30 + n}", "edge") for n in range(edges)]
        self.seeds = self.cores[:3]
        self.zones = zones
        self.runners = []
        self.version = 0

    def zone_of(self, instance):
        group = self.cores if instance.role == "core" else self.edges
        return self.zones[group.index(instance) % len(self.zones)]

    def write_settings(self, it, may_found):
        """The lines that deploy/settings.tmpl gives for a small deployment."""
        is_core = it.role == "core"
        lines = [
            f'instance: "{it.name}"', f'failure_domain: "{self.zone_of(it)}"', 'region: "r"',
            f"roles: [{'control' if is_core else 'entry'}]", "adapter: platform", "listen:",
            f"  peer: {it.host}:{self.peer_port}"]
        if is_core:
            lines += [f"  operator: {it.host}:{self.control_port}",
                      f"  platform: {it.host}:{self.relay_port}",
                      f"data_folder: {self.folder}/{it.name}.data"]
        else:
            lines += [f"  caller: {it.host}:{self.front_port}",
                      f"  platform: {it.host}:{self.ready_port}",
                      f"  relay: {it.host}:{self.relay_port}"]
        lines += ["discovery:", "  seeds:"]
        lines += [f"    - {core.host}:{self.control_port}" for core in self.seeds]
        lines += [f"  peer_port: {self.peer_port}", f"  may_found: {'true' if may_found else 'false'}",
                  "  heartbeat: 1200 ms", "retries:", "  ratio: 0.2", "  slack: 104", "  window: 10 s",
                  "overload:", "  defer: true", "  order: true",
                  "limits:", "  body: 5 MiB", "  connections: 3000", "  stop_time: 7 s",
                  "keys:", "  peer_file: deploy/peer.key", "log:", "  level: info"]
        with open(it.settings, "w") as file:
            file.write("\n".join(lines) + "\n")

    def start(self):
        for it in self.cores + self.edges:
            it.start(may_found=True)

    def await_ready(self):
        wait_until(lambda: all(it.is_ready() for it in self.edges), 20, "edges are not ready")

    def await_runners(self, seconds=5.0):
        """Waits until each edge has heard of each runner."""
        def heard(edge, runner):
            with open(edge.log) as log:
                return any(runner.id in line for line in log)
        wait_until(lambda: all(heard(e, r) for e in self.edges for r in self.runners), seconds,
                   "edges have not heard of the runners")
        # The edges wait a moment after their first document before they use what they know.
        time.sleep(2.5)

    def call_control(self, method, path, body, to=None, timeout=2):
        """One call to a control instance. Returns the status, or None without one."""
        core = to if to is not None else random.choice(self.cores)
        try:
            link = http.client.HTTPConnection(core.host, self.control_port, timeout=timeout)
            text = json.dumps(body) if body is not None else None
            link.request(method, path, body=text, headers={"Content-Type": "application/json"})
            answer = link.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return None, b""

    def put_config(self, routes, services, tenants=None, seconds=20):
        """Sends a new configuration until it is acknowledged. None leaves out tenants."""
        self.version += 1
        document = {"version": self.version, "routes": routes, "services": services,
                    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                               "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        if tenants is not None:
            document["tenants"] = tenants
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status, _ = self.call_control("PUT", "/api/config", document)
            if status == 200:
                self.record.say(f"configuration {self.version} is acknowledged")
                return
            if status is not None and 400 <= status < 500:
                raise CouldNotRun(f"the configuration is refused with {status}")
            time.sleep(0.2)
        raise CouldNotRun("the configuration is not acknowledged")

    def stop(self):
        for it in self.runners:
            it.stop()
        for it in self.cores + self.edges:
            if it.is_running():
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def engine(slots=16):
    return {"slots": slots, "kv_capacity_tokens": 315000, "kv_token_bytes": 163840, "link_mbps": 400000.0,
            "stride": 51, "models": [{"name": "m"}], "step_ms": 0.85, "per_seq_ms": 0.00425,
            "context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048,
            "report_lag_ms": 200.0, "loads_per_s": 0.0, "loads_at_once": 8, "delays": [],
            "usual": {"prompt": 11108, "answer": 1622}, "hop_ms": 0.05}


def route(name, prefix, kind, service, timeout_ms=10000, target_ms=300, attempts=2, **more):
    made = {"name": name, "host": "desk.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": target_ms, "priority": 1, "service": service,
            "max_attempts": attempts, "public": True}
    made.update(more)
    return made


def read_head(link, rest=b""):
    """Reads up to the empty line. Returns the lines and what follows, or None at the end."""
    while b"\r\n\r\n" not in rest:
        piece = link.recv(65536)
        if not piece:
            return None, rest
        rest += piece
    head, rest = rest.split(b"\r\n\r\n", 1)
    return head.decode("latin-1").split("\r\n"), rest


def headers_of(lines):
    return {name.strip().lower(): value.strip() for name, value in
            (line.split(":", 1) for line in lines[1:])}


class Request:
    def __init__(self, lines, body):
        self.method, self.path, _ = lines[0].split(" ", 2)
        self.headers = headers_of(lines)
        self.body = body
        self.attempt = self.headers.get("x-attempt-id", "")


class Runner:
    """A runner of a service. serve(runner, link, request) answers one request and
    returns True if the channel stays open."""

    def __init__(self, lab, name, service, host, serve, zone="a", slots=16):
        self.lab, self.name, self.service, self.serve, self.zone, self.slots = lab, name, service, serve, zone, slots
        self.id = "i-" + name + "-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.host, self.state, self.sequence = host, "ready", 0
        self.is_stopping = False
        self.links = set()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, lab.runner_port))
        self.listener.listen(256)
        lab.runners.append(self)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.announce, daemon=True).start()

    def beat(self, to=None):
        self.sequence += 1
        body = {"service": self.service, "address": f"{self.host}:{self.lab.runner_port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born, "stage": "mixed",
                "models": [{"name": "m", "version": 1, "adapters": []}]}
        return self.lab.call_control("PUT", "/api/instances/" + self.id, body, to, 1)[0]

    def announce(self):
        while not self.is_stopping:
            if self.beat() == 200:
                time.sleep(1.2)
            else:
                time.sleep(0.1)

    def accept(self):
        while not self.is_stopping:
            try:
                link, _ = self.listener.accept()
            except OSError:
                return
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.links.add(link)
            threading.Thread(target=self.handle, args=(link,), daemon=True).start()

    def handle(self, link):
        rest = b""
        try:
            while not self.is_stopping:
                lines, rest = read_head(link, rest)
                if lines is None:
                    break
                length = int(headers_of(lines).get("content-length", "0"))
                while len(rest) < length:
                    piece = link.recv(65536)
                    if not piece:
                        return
                    rest += piece
                request, rest = Request(lines, rest[:length]), rest[length:]
                if request.headers.get("x-expect-instance", self.id) != self.id:
                    reply(link, request, 421, b"", sealed=False)
                    continue
                if not self.serve(self, link, request):
                    break
        except OSError:
            pass
        finally:
            self.links.discard(link)
            link.close()

    def say(self, text):
        self.lab.record.say(f"runner {self.name}: {text}")

    def stop(self):
        self.is_stopping = True
        self.listener.close()


def seal_of(request):
    return "3e1b.07.5a2.600.0." + request.attempt[:8]


def reply(link, request, status, body, sealed=True, more=()):
    lines = [f"HTTP/1.1 {status} Status", f"X-Attempt-Id: {request.attempt}", f"Content-Length: {len(body)}"]
    if sealed:
        lines.append("X-Response-Seal: " + seal_of(request))
    lines += more
    link.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def begin_stream(link, request):
    link.sendall(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                  f"X-Attempt-Id: {request.attempt}\r\nX-Response-Seal: {seal_of(request)}\r\n\r\n").encode())


def send_chunk(link, data):
    link.sendall(b"%x\r\n" % len(data) + data + b"\r\n")


def end_stream(link):
    link.sendall(b"0\r\n\r\n")


def event(number, text):
    return f"id: {number}\ndata: {text}\n\n".encode()


def reset(link):
    """Closes a channel with a reset, as the end of a process with unread bytes does."""
    link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    link.close()


class Answer:
    """What a client received. end is "complete", "closed", "reset", "timeout" or "malformed"."""

    def __init__(self):
        self.status, self.headers, self.body, self.end, self.rest = None, {}, b"", "closed", b""

    def __str__(self):
        return f"status {self.status}, {len(self.body)} bytes, {self.end}"


def new_attempt():
    return "%016x" % random.getrandbits(64)


def request_bytes(method, path, attempt, limit_ms, body=b"", tokens=None, more=()):
    lines = [f"{method} {path} HTTP/1.1", "Host: desk.example", f"X-Attempt-Id: {attempt}",
             f"X-Request-Deadline-Ms: {limit_ms}"]
    if tokens:
        lines += ["X-Model: m", f"X-Token-Usage: {tokens},1600",
                  f"X-Prompt-Prefix: 5c1e07a2:40,{attempt[:8]}:{tokens - 40}"]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    lines += more
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def receive(link, answer, end_at, pace=None):
    """Reads one answer. pace(link) is called before each read of the body."""
    def read():
        link.settimeout(max(0.01, end_at - time.monotonic()))
        if pace:
            pace(link)
        return link.recv(65536)
    rest = b""
    try:
        while b"\r\n\r\n" not in rest:
            piece = read()
            if not piece:
                return answer
            rest += piece
        head, rest = rest.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        answer.headers = headers_of(lines)
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                while b"\r\n" not in rest:
                    piece = read()
                    if not piece:
                        return answer
                    rest += piece
                size, rest = rest.split(b"\r\n", 1)
                size = int(size, 16)
                while len(rest) < size + 2:
                    piece = read()
                    if not piece:
                        answer.body += rest
                        return answer
                    rest += piece
                if rest[size:size + 2] != b"\r\n":
                    answer.end = "malformed"
                    return answer
                answer.body += rest[:size]
                rest = rest[size + 2:]
                if size == 0:
                    break
        else:
            size = int(answer.headers.get("content-length", "0"))
            while len(rest) < size:
                piece = read()
                if not piece:
                    answer.body = rest
                    return answer
                rest += piece
            answer.body, rest = rest[:size], rest[size:]
        answer.rest, answer.end = rest, "complete"
    except socket.timeout:
        answer.end = "timeout"
    except ConnectionError:
        answer.end = "reset"
    except ValueError:
        answer.end = "malformed"
    return answer


def ask(host, port, data, seconds, pace=None, link=None):
    """Sends a request on a new channel, or on link, and reads its answer."""
    answer = Answer()
    end_at = time.monotonic() + seconds
    try:
        if link is None:
            link = socket.create_connection((host, port), 1)
            link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link.sendall(data)
    except OSError:
        answer.end = "reset"
        return answer
    return receive(link, answer, end_at, pace)


def event_ids(body):
    return [int(line[3:]) for line in body.decode("latin-1").split("\n") if line.startswith("id:")]


def run_case(case):
    """Runs case(), which returns an empty text if the rule held, else what broke it."""
    try:
        broken = case()
    except CouldNotRun as problem:
        print("could not run:", problem)
        return 2
    print("broken: " + broken if broken else "held")
    return 1 if broken else 0
