"""A runner of a plain service: answers requests as their path says, and reports
to the control instances as runners do.

POST /.../AT/BYTES is answered AT ms after the start of the record with a body of
BYTES bytes; an AT in the past means at once.
"""

import asyncio
import json
import sys
import time

from fleet import Record

PIECE = 65536


class Runner:
    def __init__(self, record, host, service, operators, runner_id, zone="z1",
                 slots=64, heartbeat=1.2):
        self.record = record
        self.host = host
        self.service = service
        self.operators = operators
        self.id = runner_id
        self.zone = zone
        self.slots = slots
        self.heartbeat = heartbeat
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = {}
        self.body = b"x" * PIECE
        self.state = "ready"
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beat_task = asyncio.create_task(self.beat())

    async def beat(self):
        n = 0
        while True:
            self.sequence += 1
            body = json.dumps({
                "service": self.service, "address": f"{self.host}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "cold_remaining_ms": 0, "born": self.born,
                "stage": "mixed", "models": [], "sequence": self.sequence})
            for _ in range(len(self.operators)):
                address = self.operators[n % len(self.operators)]
                try:
                    if await asyncio.wait_for(self.put(address, body), 1.0) == 200:
                        break
                except (OSError, asyncio.TimeoutError, ValueError, IndexError):
                    pass
                n += 1
            await asyncio.sleep(self.heartbeat)

    async def put(self, address, body):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write((f"PUT /api/instances/{self.id} HTTP/1.1\r\nHost: x\r\n"
                          f"Connection: close\r\nContent-Type: application/json\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
            line = await reader.readline()
            return int(line.split()[1])
        finally:
            writer.close()

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                await self.answer(writer, method, target, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, method, target, headers, body):
        expected = headers.get("x-expect-instance", self.id)
        attempt = headers.get("x-attempt-id", "")
        if expected != self.id:
            writer.write(f"HTTP/1.1 421 x\r\nX-Attempt-Id: {attempt}\r\n"
                         f"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return
        parts = target.split("/")
        at, size = int(parts[-2]), int(parts[-1])
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        self.record.write(f"runner {self.id} runs {attempt}")
        wait = self.record.start + at / 1000 - time.monotonic()
        if wait > 0:
            await asyncio.sleep(wait)
        head = (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
                f"X-Response-Seal: seal.{attempt}\r\n"
                f"Content-Length: {size}\r\n\r\n").encode()
        if size <= PIECE:
            writer.write(head + self.body[:size])
            return
        writer.write(head)
        left = size
        while left > 0:
            await asyncio.sleep(0)
            await writer.drain()
            writer.write(self.body[:left])
            left -= min(left, PIECE)
        await writer.drain()


async def main(words):
    host, service, runner_id, zone, slots, path, start = words[:7]
    operators = [(it.split(":")[0], int(it.split(":")[1])) for it in words[7:]]
    runner = Runner(Record(path, float(start)), host, service, operators, runner_id,
                    zone, int(slots))
    await runner.start()
    await runner.server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
