"""The operator takes the last client account out of the configuration."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
import lab  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
APPLY_S = 2.0  # config_apply_ms
HELD_KEY = "n2ctnfzs989anu6wsjnb"
FOREIGN_KEY = "zzzzzzzzzzzzzzzzzzzz"  # no configuration ever holds it
ROUNDS = 5


def case():
    it = lab.Lab(HERE, edges=2, cores=3)
    try:
        return play(it)
    finally:
        it.stop()


def play(it):
    ran = {}

    def serve(runner, link, request):
        ran[request.attempt] = request.headers.get("x-tenant-id")
        runner.say(f"attempt {request.attempt} runs, tenant {ran[request.attempt]}")
        lab.reply(link, request, 200, b"b" * 800)
        return True

    routes = [lab.route("hold", "/hold/", "non_idempotent", "desk", timeout_ms=4000, public=False)]
    services = [{"name": "desk", "health_path": "/healthz", "max_conns": 52, "protocol": "h1", "tls": False}]
    it.start()
    it.put_config(routes, services, tenants=[{"name": "hule930", "api_keys": [HELD_KEY], "priority": 1}])
    for n in range(3):
        lab.Runner(it, f"desk-{n}", "desk", f"{it.net}.{60 + n}", serve, slots=6)
    it.await_ready()
    it.await_runners()
    time.sleep(2)

    def send(edge, key):
        attempt = lab.new_attempt()
        more = ["Authorization: Bearer " + key] if key else []
        answer = lab.ask(edge.host, it.front_port,
                         lab.request_bytes("POST", "/hold/1", attempt, 4000, b"x" * 50, more=more), 5)
        it.record.say(f"client: attempt {attempt} with key {key or 'none'} at {edge.name}: {answer}")
        return attempt, answer

    for edge in it.edges:
        if send(edge, HELD_KEY)[1].status != 200 or send(edge, FOREIGN_KEY)[1].status != 401:
            raise lab.CouldNotRun("the first configuration is not obeyed")
    if TROUBLE:
        it.put_config(routes, services, tenants=[])
    time.sleep(APPLY_S + 1)
    broken = []
    for _ in range(ROUNDS):
        for edge in it.edges:
            keys = [HELD_KEY, FOREIGN_KEY] if TROUBLE else [FOREIGN_KEY]
            for key in keys:
                attempt, answer = send(edge, key)
                if attempt in ran:
                    what = "a dropped key" if key == HELD_KEY else "a key that no configuration ever held"
                    broken.append(f"a request with {what} ran at a runner and got {answer.status}")
    return f"{len(broken)} times: " + "; ".join(sorted(set(broken))) if broken else ""


sys.exit(lab.run_case(case))
