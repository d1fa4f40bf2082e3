"""Stand-in of the users' platform for one test: store, workers and configuration on loopback.

It keeps its own record of every start and end, checks that no task runs twice, and tells what it saw
at GET /record.
"""
import base64
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

WORKERS = 4
RUN_SECONDS = 0.3
CAPACITY = {"cpu": 8000, "mem_mb": 16000, "gpus": 0}
BEGAN = time.monotonic()


def milliseconds():
    return int((time.monotonic() - BEGAN) * 1000)


class Store:
    def __init__(self):
        self.lock = threading.Condition()
        self.rows = {}  # (table, key) -> (value, version)
        self.version = 1
        self.changes = []  # (version, table, key, removed)

    def put(self, table, key, value):
        with self.lock:
            self.apply([(table, key, base64.b64encode(json.dumps(value).encode()).decode())])

    def apply(self, writes):
        self.version += 1
        for table, key, value in writes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[(table, key)] = (value, self.version)
            self.changes.append((self.version, table, key, value is None))
        self.lock.notify_all()

    def row(self, table, key):
        value, version = self.rows.get((table, key), ("", 0))
        return {"table": table, "part": "", "key": key, "value": value, "ver": version}

    def transact(self, body):
        with self.lock:
            rows = [self.row(entry["table"], entry["key"]) for entry in body["expected"]]
            if any(row["ver"] != entry["ver"] for row, entry in zip(rows, body["expected"])):
                return 412, {"rows": [row for row in rows if row["ver"]]}
            writes = [(put["table"], put["key"], put["value"]) for put in body["puts"]]
            writes += [(drop["table"], drop["key"], None) for drop in body["remove"]]
            self.apply(writes)
            return 200, {"ver": self.version, "now_ms": milliseconds()}

    def get(self, query):
        table, begin = query["table"][0], query.get("from", [""])[0]
        end, limit = query.get("target", [None])[0], int(query.get("limit", ["500"])[0])
        with self.lock:
            keys = sorted(k for t, k in self.rows if t == table and k >= begin and (end is None or k < end))
            rows = [self.row(table, key) for key in keys[:limit]]
            return 200, {"rows": rows, "has_more": len(keys) > limit, "ver": self.version, "now_ms": milliseconds()}

    def feed(self, query):
        table, after = query["table"][0], int(query["after"][0])
        until = time.monotonic() + int(query["wait_ms"][0]) / 1000
        with self.lock:
            while True:
                found = [change for change in self.changes if change[0] > after and change[1] == table]
                if found or time.monotonic() >= until:
                    break
                self.lock.wait(until - time.monotonic())
            rows = [dict(self.row(table, key), ver=version, tombstone=removed) for version, _, key, removed in found]
            return 200, {"rows": rows, "ver": self.version, "now_ms": milliseconds()}


class Record:
    """What the workers saw, and the rules that they check."""

    def __init__(self):
        self.lock = threading.Lock()
        self.active = {}  # task -> worker
        self.done = set()  # tasks whose end was acknowledged
        self.violations = []
        self.starts = 0

    def started(self, task, worker):
        with self.lock:
            self.starts += 1
            if task in self.active:
                self.violations.append(f"{task} runs on {self.active[task]} and {worker}")
            if task in self.done:
                self.violations.append(f"{task} ran again after its end")
            self.active[task] = worker


class Worker:
    def __init__(self, identifier, record):
        self.identifier, self.record = identifier, record
        self.lock = threading.Condition()
        self.born = int(time.time() * 1000)
        self.fence, self.runs, self.ends, self.highest, self.seen = 0, {}, [], {}, 0

    def finish(self):
        for (task, run), end in list(self.runs.items()):
            if time.monotonic() >= end:
                self.end(task, run, "done")

    def end(self, task, run, how):
        del self.runs[(task, run)]
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.ends.append([len(self.ends) + 1, task, run, how, ""])
        with self.record.lock:
            self.record.active.pop(task, None)

    def call(self, path, body):
        with self.lock:
            self.finish()
            if body["fencing_token"] < self.fence:
                return 409, {"clock_ms": milliseconds(), "reason": "fence"}
            self.fence = body["fencing_token"]
            if path == "/v1/run-start":
                return self.start(body["task"], body["run"])
            if path == "/v1/run-stop":
                self.highest[body["task"]] = max(body["run"], self.highest.get(body["task"], 0))
                if (body["task"], body["run"]) in self.runs:
                    self.end(body["task"], body["run"], "stopped")
                return 200, {"clock_ms": milliseconds()}
            return self.hold(body)

    def start(self, task, run):
        if (task, run) not in self.runs:
            if run <= self.highest.get(task, 0):
                return 409, {"clock_ms": milliseconds(), "reason": "old"}
            self.record.started(task, self.identifier)
            self.runs[(task, run)] = time.monotonic() + RUN_SECONDS
        return 200, {"clock_ms": milliseconds()}

    def hold(self, body):
        self.seen = max(self.seen, body["seen_upto"])
        with self.record.lock:
            self.record.done.update(end[1] for end in self.ends if end[0] <= self.seen and end[3] == "done")
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        while len(self.ends) <= self.seen and time.monotonic() < until:
            self.lock.wait(0.02)
            self.finish()
        running = [[task, run, "", 50] for task, run in self.runs]
        ended = [end for end in self.ends if end[0] > self.seen]
        return 200, {"clock_ms": milliseconds(), "born": self.born, "running": running, "ended": ended}


def serve(port, handle):
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def answer(self):
            length = int(self.headers.get("Content-Length", 0))
            body = json.loads(self.rfile.read(length)) if length else None
            status, reply = handle(urlparse(self.path), body)
            data = json.dumps(reply).encode()
            self.send_response(status)
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = answer

        def log_message(self, *arguments):
            pass

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 128

        def handle_error(self, request, address):
            pass  # a killed process leaves broken connections

    server = Server(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()


def main():
    base = int(sys.argv[1])
    store, record = Store(), Record()
    store.put("op", "config", {
        "version": 1,
        "routes": [{"name": "checks", "hostname": "test.example", "prefix": "/checks/", "backend": "pool",
                    "max_attempts": 3, "stretch": 1.6, "slo_ms": 600, "priority": 0}],
        "services": [{"name": "pool", "rejects_overload": False}],
        "limits": {}})
    for index in range(WORKERS):
        worker = Worker(f"w{index}", record)
        port = base + 1 + index
        serve(port, lambda url, body, worker=worker: worker.call(url.path, body))
        store.put("servers", worker.identifier, {
            "backend": "pool", "address": f"127.0.0.1:{port}", "zone": "a", "state": "ready", "capacity": CAPACITY,
            "labels": ["a", "r1"], "born": worker.born, "seq": 1})

    def handle(url, body):
        query = parse_qs(url.query, keep_blank_values=True)
        if url.path == "/record":
            with record.lock:
                return 200, {"violations": record.violations, "starts": record.starts, "done": sorted(record.done)}
        if url.path == "/v1/rows-tx":
            return store.transact(body)
        return store.get(query) if url.path == "/v1/rows-get" else store.feed(query)

    serve(base, handle)
    print("ready", flush=True)
    threading.Event().wait()


main()
