"""Runners of a streaming service, many in one process, each at a port of its own.

All of them stream EVENTS events. From FAIL_AT seconds after the start of the
record on, for FAIL_FOR seconds, the first FAILING of them answer the share
FAIL_SHARE of their requests with status 500 and FAIL_BYTES bytes, of which all but
the last are sent within SEND_S seconds and the last after FAIL_S seconds; their
heartbeats go on.
"""

import asyncio
import random
import sys
import time

from fleet import Record
from runner import PIECE, Runner

EVENTS = 20
EVENT_S = 0.03
SEND_S = 5.0


class Streamer(Runner):
    fail_at = None
    fail_for = 0.0
    fail_share = 0.0
    fail_bytes = 0
    fail_s = 1.0

    async def answer(self, writer, method, target, headers, body):
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-expect-instance", self.id) != self.id:
            await super().answer(writer, method, target, headers, body)
            return
        passed = time.monotonic() - self.record.start
        is_failing = (self.fail_at is not None
                      and self.fail_at <= passed < self.fail_at + self.fail_for
                      and random.random() < self.fail_share)
        self.record.write(f"runner {self.id} runs {attempt}" + (" and fails" if is_failing else ""))
        head = (f"X-Attempt-Id: {attempt}\r\nX-Response-Seal: seal.{attempt}.{self.id}\r\n")
        if is_failing:
            writer.write((f"HTTP/1.1 500 failed\r\n{head}"
                          f"Content-Length: {int(self.fail_bytes)}\r\n\r\n").encode())
            begun = time.monotonic()
            sent = 0
            while sent < self.fail_bytes - 1:
                n = min(PIECE, int(self.fail_bytes) - 1 - sent)
                writer.write(self.body[:n])
                await writer.drain()
                sent += n
                await asyncio.sleep(max(0, begun + SEND_S * sent / self.fail_bytes
                                        - time.monotonic()))
            await asyncio.sleep(max(0, begun + self.fail_s - time.monotonic()))
            writer.write(self.body[:1])
            await writer.drain()
            return
        writer.write((f"HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n"
                      f"Transfer-Encoding: chunked\r\n\r\n").encode())
        first = int(headers.get("last-event-id", "0")) + 1
        for n in range(first, EVENTS + 1):
            event = f"id: {n}\ndata: {'x' * 65}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")


async def main(words):
    host, service, count, failing, slots, path, start = words[:7]
    figures = [float(it) for it in words[7:12]]
    operators = [(it.split(":")[0], int(it.split(":")[1])) for it in words[12:]]
    record = Record(path, float(start))
    for n in range(int(count)):
        it = Streamer(record, host, service, operators, f"i-{n + 1}", "z1", int(slots))
        if n < int(failing):
            it.fail_at, it.fail_for, it.fail_share, it.fail_bytes, it.fail_s = figures
        await it.start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
