"""Stand-in for the users' platform in check-jobs.py: store, workers and configuration on loopback.

It records every start and end of a task on its workers, checks that no task runs twice, and returns
the result at GET /record.

Usage: platform_standin.py PORT. The store listens on PORT, the workers on the ports after it.
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
START_TIME = time.monotonic()


def milliseconds():
    """Returns the time on the clock that the store and all workers report."""
    return int((time.monotonic() - START_TIME) * 1000)


class Store:
    """Versioned rows with conditional transactions and a change feed."""

    def __init__(self):
        self.lock = threading.Condition()
        self.rows = {}  # (table, part, key) -> (value, version)
        self.version = 1
        self.changes = []  # (version, table, part, key, removed)

    def write_json(self, table, key, value):
        with self.lock:
            self.apply_writes([(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())])

    def apply_writes(self, writes):
        self.version += 1
        for table, part, key, value in writes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[(table, part, key)] = (value, self.version)
            self.changes.append((self.version, table, part, key, value is None))
        self.lock.notify_all()

    def row(self, table, part, key):
        value, version = self.rows.get((table, part, key), ("", 0))
        return {"table": table, "part": part, "key": key, "value": value, "ver": version}

    def transact(self, body):
        with self.lock:
            entries = body["expected"] + body["puts"] + body["remove"]
            if len({entry["part"] for entry in entries}) > 1:
                return 400, {}  # as a service that allows no transaction over several partitions
            rows = [self.row(entry["table"], entry["part"], entry["key"]) for entry in body["expected"]]
            if any(row["ver"] != entry["ver"] for row, entry in zip(rows, body["expected"])):
                return 412, {"rows": [row for row in rows if row["ver"]]}
            writes = [(put["table"], put["part"], put["key"], put["value"]) for put in body["puts"]]
            writes += [(drop["table"], drop["part"], drop["key"], None) for drop in body["remove"]]
            self.apply_writes(writes)
            return 200, {"ver": self.version, "now_ms": milliseconds()}

    def read_range(self, query):
        table, part, begin = query["table"][0], query.get("part", [""])[0], query.get("from", [""])[0]
        end, limit = query.get("target", [None])[0], int(query.get("limit", ["500"])[0])
        with self.lock:
            keys = sorted(k for t, p, k in self.rows
                          if (t, p) == (table, part) and k >= begin and (end is None or k < end))
            rows = [self.row(table, part, key) for key in keys[:limit]]
            return 200, {"rows": rows, "has_more": len(keys) > limit, "ver": self.version, "now_ms": milliseconds()}

    def read_changes(self, query):
        table, after = query["table"][0], int(query["after"][0])
        deadline = time.monotonic() + int(query["wait_ms"][0]) / 1000
        with self.lock:
            while True:
                changes = [change for change in self.changes if change[0] > after and change[1] == table]
                if changes or time.monotonic() >= deadline:
                    break
                self.lock.wait(deadline - time.monotonic())
            rows = [dict(self.row(table, part, key), ver=version, tombstone=removed)
                    for version, _, part, key, removed in changes]
            return 200, {"rows": rows, "ver": self.version, "now_ms": milliseconds()}


class RunRecord:
    """Starts and acknowledged ends of tasks on all workers, and violations of the rules for them."""

    def __init__(self):
        self.lock = threading.Lock()
        self.active = {}  # task -> worker that runs it
        self.done = set()  # tasks that completed, with the end acknowledged to the worker
        self.violations = []  # messages
        self.starts = 0

    def record_start(self, task, worker):
        with self.lock:
            self.starts += 1
            if task in self.active:
                self.violations.append(f"task {task} started on {worker} while it ran on {self.active[task]}")
            if task in self.done:
                self.violations.append(f"task {task} started again on {worker} after its end was acknowledged")
            self.active[task] = worker


class Worker:
    """Worker that executes runs, each for RUN_SECONDS, and follows the fencing rules of the platform."""

    def __init__(self, identifier, record):
        self.identifier, self.record = identifier, record
        self.lock = threading.Condition()
        self.started_at = int(time.time() * 1000)
        # highest_runs holds the highest ended or stopped run number of each task.
        self.fencing_token, self.runs, self.ends, self.highest_runs, self.acknowledged = 0, {}, [], {}, 0

    def end_due_runs(self):
        for (task, run), end_time in list(self.runs.items()):
            if time.monotonic() >= end_time:
                self.end_run(task, run, "done")

    def end_run(self, task, run, outcome):
        del self.runs[(task, run)]
        self.highest_runs[task] = max(run, self.highest_runs.get(task, 0))
        self.ends.append([len(self.ends) + 1, task, run, outcome, ""])
        with self.record.lock:
            self.record.active.pop(task, None)

    def handle_order(self, path, body):
        with self.lock:
            self.end_due_runs()
            if body["fencing_token"] < self.fencing_token:
                return 409, {"clock_ms": milliseconds(), "reason": "fence"}
            self.fencing_token = body["fencing_token"]
            if path == "/v1/run-start":
                return self.start_run(body["task"], body["run"])
            if path == "/v1/run-stop":
                self.highest_runs[body["task"]] = max(body["run"], self.highest_runs.get(body["task"], 0))
                if (body["task"], body["run"]) in self.runs:
                    self.end_run(body["task"], body["run"], "stopped")
                return 200, {"clock_ms": milliseconds()}
            return self.poll(body)

    def start_run(self, task, run):
        if (task, run) not in self.runs:
            if run <= self.highest_runs.get(task, 0):
                return 409, {"clock_ms": milliseconds(), "reason": "old"}
            self.record.record_start(task, self.identifier)
            self.runs[(task, run)] = time.monotonic() + RUN_SECONDS
        return 200, {"clock_ms": milliseconds()}

    def poll(self, body):
        """Takes the acknowledgement of ends and returns the runs, at once or when one has ended."""
        self.acknowledged = max(self.acknowledged, body["seen_upto"])
        with self.record.lock:
            self.record.done.update(end[1] for end in self.ends if end[0] <= self.acknowledged and end[3] == "done")
        deadline = time.monotonic() + body.get("wait_ms", 0) / 1000
        while len(self.ends) <= self.acknowledged and time.monotonic() < deadline:
            self.lock.wait(0.02)
            self.end_due_runs()
        running = [[task, run, "", 50] for task, run in self.runs]
        ended = [end for end in self.ends if end[0] > self.acknowledged]
        return 200, {"clock_ms": milliseconds(), "born": self.started_at, "running": running, "ended": ended}


def serve(port, handle_request):
    """Starts an HTTP server; handle_request takes the URL and the body, and returns status and reply."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def answer(self):
            length = int(self.headers.get("Content-Length", 0))
            body = json.loads(self.rfile.read(length)) if length else None
            status, reply = handle_request(urlparse(self.path), body)
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
            pass  # connections from a killed process end with errors

    server = Server(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()


def main():
    base_port = int(sys.argv[1])
    store, record = Store(), RunRecord()
    store.write_json("op", "config", {
        "version": 1,
        "routes": [{"name": "checks", "hostname": "test.example", "prefix": "/checks/", "backend": "pool",
                    "max_attempts": 3, "stretch": 1.6, "slo_ms": 600, "priority": 0}],
        "services": [{"name": "pool", "rejects_overload": False}],
        "limits": {}})
    for index in range(WORKERS):
        worker = Worker(f"w{index}", record)
        port = base_port + 1 + index
        serve(port, lambda url, body, worker=worker: worker.handle_order(url.path, body))
        store.write_json("servers", worker.identifier, {
            "backend": "pool", "address": f"127.0.0.1:{port}", "zone": "a", "state": "ready", "capacity": CAPACITY,
            "labels": ["a", "r1"], "born": worker.started_at, "seq": 1})

    def handle_store_request(url, body):
        query = parse_qs(url.query, keep_blank_values=True)
        if url.path == "/record":
            with record.lock:
                return 200, {"violations": record.violations, "starts": record.starts, "done": sorted(record.done)}
        if url.path == "/v1/rows-tx":
            return store.transact(body)
        return store.read_range(query) if url.path == "/v1/rows-get" else store.read_changes(query)

    serve(base_port, handle_store_request)
    print("ready", flush=True)
    threading.Event().wait()


main()
