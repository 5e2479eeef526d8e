"""A small fleet of the project's own processes on loopback addresses, with a
stand-in of the platform: settings files, the operator and signals.

The settings are those of deploy/settings.tmpl, filled in as the platform does
for one failure domain or more. Each process has a loopback address of its own,
and all use the same ports, which are searched for at the start.
"""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BINARY = os.path.join(ROOT, "target/src/program/cuminslip")


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path, start=None):
        """Begins a record, or goes on with that of another process."""
        if start is None:
            open(path, "w", encoding="utf-8").close()
        self.path = path
        self.file = open(path, "a", encoding="utf-8", buffering=1)
        self.start = start if start is not None else time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")


def free_ports(hosts, count):
    """Finds consecutive ports that are free on all hosts, for TCP and UDP."""
    for _ in range(200):
        base = random.randrange(20000, 30000)
        held = []
        try:
            for host in hosts:
                for port in range(base, base + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        it = socket.socket(socket.AF_INET, kind)
                        held.append(it)
                        it.bind((host, port))
            return base
        except OSError:
            continue
        finally:
            for it in held:
                it.close()
    raise RuntimeError("no free ports")


class Process:
    def __init__(self, fleet, name, host, zone, is_control):
        self.fleet = fleet
        self.name = name
        self.host = host
        self.zone = zone
        self.is_control = is_control
        self.may_found = is_control
        self.process = None
        self.log = None

    def settings(self):
        fleet = self.fleet
        base = fleet.port
        lines = [
            f'instance: "{self.name}"',
            f'failure_domain: "{self.zone}"',
            'region: "region-1"',
            f"roles: [{'control' if self.is_control else 'entry'}]",
            "adapter: platform",
            "listen:",
            f"  peer: {self.host}:{base}",
        ]
        if self.is_control:
            lines += [
                f"  operator: {self.host}:{base + 2}",
                f"  platform: {self.host}:{base + 1}",
                f"data_folder: {self.folder()}",
            ]
        else:
            lines += [
                f"  caller: {self.host}:{base + 3}",
                f"  platform: {self.host}:{base + 4}",
                f"  relay: {self.host}:{base + 1}",
            ]
        lines += ["discovery:", "  seeds:"]
        lines += [f"    - {it.host}:{base + 2}" for it in fleet.seeds]
        lines += [
            f"  peer_port: {base}",
            f"  may_found: {'true' if self.may_found else 'false'}",
            f"  heartbeat: {fleet.heartbeat_ms} ms",
            "retries:",
            "  ratio: 0.2",
            "  slack: 104",
            "  window: 10 s",
            "overload:",
            "  defer: true",
            "  order: true",
            "limits:",
            "  body: 5 MiB",
            f"  memory: {fleet.memory_mb} MiB",
            "  connections: 3000",
            "  stop_time: 7 s",
            "keys:",
            "  peer_file: deploy/peer.key",
            "log:",
            "  level: info",
        ]
        return "\n".join(lines) + "\n"

    def folder(self):
        return os.path.join(self.fleet.folder, self.name + "-data")

    def start(self):
        path = os.path.join(self.fleet.folder, self.name + ".yaml")
        if self.is_control:
            os.makedirs(self.folder(), exist_ok=True)
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        self.log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            [BINARY, "serve", "--settings", path],
            cwd=ROOT, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.fleet.record.write(f"start {self.name} {self.host} pid {self.process.pid}")

    def signal(self, number):
        self.fleet.record.write(f"signal {number} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Fleet:
    def __init__(self, record, controls=3, entries=1, zones=("z1", "z2", "z3"),
                 memory_mb=160, heartbeat_ms=1200):
        # A case that is ended from outside ends what it has started.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.record = record
        self.heartbeat_ms = heartbeat_ms
        self.memory_mb = memory_mb
        self.temporary = tempfile.TemporaryDirectory(prefix="cuminslip-review-")
        self.folder = self.temporary.name
        net = random.randrange(10, 250)
        host = iter(f"127.{net}.{random.randrange(1, 250)}.{n}" for n in range(1, 250))
        self.hosts = host
        self.controls = [Process(self, f"control-{n + 1}", next(host),
                                 zones[n % len(zones)], True) for n in range(controls)]
        self.entries = [Process(self, f"entry-{n + 1}", next(host),
                                zones[n % len(zones)], False) for n in range(entries)]
        self.runners = []
        self.seeds = self.controls[:3]
        self.port = free_ports([it.host for it in self.controls + self.entries], 6)

    def start(self):
        for it in self.controls + self.entries:
            it.start()

    def start_runner(self, service, runner_id, zone="z1", slots=64):
        """Starts a runner in a process of its own."""
        words = [sys.executable, os.path.join(os.path.dirname(__file__), "runner.py"),
                 next(self.hosts), service, runner_id, zone, str(slots),
                 self.record.path, repr(self.record.start)]
        words += [f"{host}:{port}" for host, port in self.operator_addresses()]
        self.runners.append(subprocess.Popen(words, stdin=subprocess.DEVNULL))

    def stop(self):
        for it in self.runners:
            it.kill()
            it.wait()
        for it in self.controls + self.entries:
            it.kill()

    def front(self, entry=0):
        return self.entries[entry].host, self.port + 3

    def operator_addresses(self):
        return [(it.host, self.port + 2) for it in self.controls]

    def call(self, address, method, path, body=None, timeout=1.0):
        """One call; returns (status, body) or (None, reason)."""
        connection = http.client.HTTPConnection(*address, timeout=timeout)
        try:
            headers = {"Content-Type": "application/json"} if body else {}
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except OSError as problem:
            return None, str(problem).encode()
        except http.client.HTTPException as problem:
            return None, repr(problem).encode()
        finally:
            connection.close()

    def publish(self, document, limit=20.0):
        """Sends a configuration until it is acknowledged."""
        body = json.dumps(document)
        end = time.monotonic() + limit
        n = 0
        while time.monotonic() < end:
            address = self.operator_addresses()[n % len(self.controls)]
            n += 1
            status, text = self.call(address, "PUT", "/api/config", body)
            self.record.write(f"PUT config {document['version']} at {address[0]}: {status}")
            if status == 200:
                return True
            if status is not None and 400 <= status < 500 and status not in (408, 429):
                return False
            time.sleep(0.2)
        return False

    def wait_ready(self, entry=0, limit=20.0):
        it = self.entries[entry]
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if self.call((it.host, self.port + 4), "GET", "/api/readyz")[0] == 200:
                return True
            time.sleep(0.1)
        return False
