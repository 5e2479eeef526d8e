"""A stream is broken off by its runner and goes on at a second one, which fails.

Other clients keep channels to the same machine and call a sound service
meanwhile.
"""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import lab  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EVENTS = 33
STREAMS = 6
BYSTANDERS = 8
WORK_S = 0.2
# What RULES.md allows: "more than three times" breaks LOST.
ALLOWED = 3


def case():
    it = lab.Lab(HERE, edges=1, cores=3)
    try:
        return play(it)
    finally:
        it.stop()


class Bystander:
    """Sends one request after the other on a kept channel."""

    def __init__(self, it, edge, passed_on):
        self.it, self.edge, self.passed_on = it, edge, passed_on
        self.lost, self.served, self.is_done = [], 0, False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        link = None
        sent = 0
        while not self.is_done:
            try:
                if link is None:
                    link = lab.socket.create_connection((self.edge.host, self.it.front_port), 1)
                    sent = 0
                attempt = lab.new_attempt()
                answer = lab.ask(self.edge.host, self.it.front_port,
                                 lab.request_bytes("POST", "/hold/1", attempt, 4000, b"x" * 50), 5, link=link)
                sent += 1
            except OSError:
                time.sleep(0.2)
                continue
            if answer.end == "complete":
                self.served += 1
                continue
            self.it.record.say(f"bystander: attempt {attempt}, request {sent} of its channel, "
                               f"passed on: {attempt in self.passed_on}: {answer}")
            if sent > 1 and attempt in self.passed_on and answer.status is None:
                self.lost.append(attempt)
            link.close()
            link = None


def play(it):
    begun = {}
    passed_on = set()
    lock = threading.Lock()

    def serve_desk(runner, link, request):
        with lock:
            passed_on.add(request.attempt)
        time.sleep(WORK_S)
        lab.reply(link, request, 200, b"b" * 800)
        return True

    def serve_model(runner, link, request):
        with lock:
            run = begun[request.attempt] = begun.get(request.attempt, 0) + 1
        last = int(request.headers.get("last-event-id", "0"))
        runner.say(f"attempt {request.attempt} run {run} from event {last + 1}")
        if run == 2 and TROUBLE:
            runner.say(f"attempt {request.attempt} fails with 500")
            lab.reply(link, request, 500, b"failed")
            return True
        lab.begin_stream(link, request)
        for number in range(last + 1, EVENTS + 1):
            time.sleep(0.01)
            lab.send_chunk(link, lab.event(number, request.attempt))
            if number == 5 and run == 1 and TROUBLE:
                runner.say(f"attempt {request.attempt} is reset after event 5")
                lab.reset(link)
                return False
        lab.end_stream(link)
        return True

    it.start()
    it.put_config(
        [lab.route("note", "/note/", "streaming", "model", resumable=True, target_gap_ms=250,
                   session_affinity=True),
         lab.route("hold", "/hold/", "non_idempotent", "desk", timeout_ms=4000)],
        [{"name": "model", "health_path": "/healthz", "max_conns": 344, "protocol": "h1", "tls": False,
          "engine": lab.engine()},
         {"name": "desk", "health_path": "/healthz", "max_conns": 52, "protocol": "h1", "tls": False}])
    for n in range(4):
        lab.Runner(it, f"model-{n}", "model", f"{it.net}.{50 + n}", serve_model)
    for n in range(3):
        lab.Runner(it, f"desk-{n}", "desk", f"{it.net}.{60 + n}", serve_desk, slots=6)
    it.await_ready()
    it.await_runners()
    time.sleep(2)
    edge = it.edges[0]
    bystanders = [Bystander(it, edge, passed_on) for _ in range(BYSTANDERS)]
    time.sleep(1)
    ends = 0
    for _ in range(STREAMS):
        attempt = lab.new_attempt()
        answer = lab.ask(edge.host, it.front_port,
                         lab.request_bytes("POST", "/note/1", attempt, 10000, b"x" * 200, tokens=5000), 10)
        it.record.say(f"client: attempt {attempt}: {answer}, events {lab.event_ids(answer.body)}")
        if not TROUBLE and answer.end != "complete":
            raise lab.CouldNotRun("a stream without trouble failed")
        time.sleep(0.3)
        if not edge.is_running():
            ends += 1
            it.record.say(f"{edge.name} ended by itself, status {edge.process.returncode}")
            break
    for one in bystanders:
        one.is_done = True
    time.sleep(0.5)
    lost = sum(len(one.lost) for one in bystanders)
    served = sum(one.served for one in bystanders)
    it.record.say(f"bystanders: {served} served, {lost} passed on from a kept channel that closed without an answer")
    if served == 0:
        raise lab.CouldNotRun("no bystander was served")
    if lost > ALLOWED:
        return (f"{lost} requests on kept channels were passed on to sound runners and got no answer; "
                f"the process ended by itself {ends} time(s)")
    return ""


sys.exit(lab.run_case(case))
